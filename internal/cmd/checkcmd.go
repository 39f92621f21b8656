package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// CheckCmd checks configuration files, or a settings file, without a server.
type CheckCmd struct {
	Output   string   `default:"text" enum:"text,json" help:"Form of the output: text or json."`
	Paths    []string `arg:"" help:"Configuration files, or directories of which every *.toml file is checked." name:"path" optional:""`
	Settings string   `help:"Settings file of an entry VM to check." type:"existingfile"`
}

// checkReport is the JSON output of the check command.
type checkReport struct {
	Valid         bool             `json:"valid"`
	Files         int              `json:"files"`
	Organisations int              `json:"organisations"`
	Services      int              `json:"services"`
	Problems      decoder.Problems `json:"problems"`
}

// Run prints all problems of the files, which are validated together. The exit code is
// ExitUsage if there is any problem.
func (k *CheckCmd) Run(c *Config) error {
	if len(k.Paths) == 0 && k.Settings == "" {
		return &ExitError{ExitUsage, errors.New("name configuration files, or a settings file with --settings")}
	}
	r, err := k.check()
	if err != nil {
		return err
	}
	if err := k.write(c.stdout, r); err != nil {
		return err
	}
	if !r.Valid {
		return &ExitError{ExitUsage, fmt.Errorf("%d problems in %d files", len(r.Problems), r.Files)}
	}
	return nil
}

// check decodes the files. It returns an error only if they cannot be read at all.
func (k *CheckCmd) check() (checkReport, error) {
	r := checkReport{Problems: decoder.Problems{}}
	var problems decoder.Problems
	if k.Settings != "" {
		r.Files++
		_, err := readSettings(k.Settings)
		if err != nil && !errors.As(err, &problems) {
			return r, &ExitError{ExitUsage, err}
		}
		r.Problems = append(r.Problems, problems...)
	}
	if len(k.Paths) > 0 {
		files, err := readPaths(k.Paths)
		if err != nil {
			return r, &ExitError{ExitUsage, err}
		}
		r.Files += len(files)
		config, err := decoder.Decode(files)
		if err != nil && !errors.As(err, &problems) {
			return r, err
		}
		if err != nil {
			r.Problems = append(r.Problems, problems...)
		}
		r.Organisations, r.Services = len(config.Organisations), len(config.Services)
	}
	r.Valid = len(r.Problems) == 0
	return r, nil
}

func (k *CheckCmd) write(w io.Writer, r checkReport) error {
	if k.Output == outputJSON {
		return writeJSON(w, r)
	}
	for _, p := range r.Problems {
		fmt.Fprintln(w, p)
	}
	if r.Valid {
		fmt.Fprintf(w, "valid: %d files, %d organisations, %d services\n", r.Files, r.Organisations, r.Services)
	}
	return nil
}

const outputJSON = "json"

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
