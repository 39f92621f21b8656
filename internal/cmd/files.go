package cmd

import (
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strings"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

const fileSuffix = ".toml"

// collectFiles reads all *.toml files below dir, named by their paths relative to dir.
// It skips directories whose names begin with a dot.
func collectFiles(dir string) ([]decoder.File, error) {
	var files []decoder.File
	root := os.DirFS(dir)
	err := fs.WalkDir(root, ".", func(p string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if e.IsDir() && p != "." && strings.HasPrefix(e.Name(), ".") {
			return fs.SkipDir
		}
		if e.IsDir() || path.Ext(p) != fileSuffix {
			return nil
		}
		b, err := fs.ReadFile(root, p)
		if err != nil {
			return err
		}
		files = append(files, decoder.File{Name: p, Content: string(b)})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("collect files below %s: %w", dir, err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("collect files below %s: no %s file there", dir, fileSuffix)
	}
	return files, nil
}

// collectWithPrefix is collectFiles with a prefix added to the name of each file.
func collectWithPrefix(prefix, dir string) ([]decoder.File, error) {
	files, err := collectFiles(dir)
	for i := range files {
		files[i].Name = path.Join(prefix, files[i].Name)
	}
	return files, err
}

// readPaths reads the given files, and all *.toml files below the given directories. File
// names keep the paths as given, so that editors can open them from messages.
func readPaths(paths []string) ([]decoder.File, error) {
	var files []decoder.File
	for _, p := range paths {
		i, err := os.Stat(p)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", p, err)
		}
		if !i.IsDir() {
			b, err := os.ReadFile(p)
			if err != nil {
				return nil, fmt.Errorf("read %s: %w", p, err)
			}
			files = append(files, decoder.File{Name: filepath.ToSlash(p), Content: string(b)})
			continue
		}
		found, err := collectFiles(p)
		if err != nil {
			return nil, err
		}
		for _, f := range found {
			f.Name = path.Join(filepath.ToSlash(p), f.Name)
			files = append(files, f)
		}
	}
	return files, nil
}
