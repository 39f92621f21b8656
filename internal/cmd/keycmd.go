package cmd

import (
	"fmt"

	"github.com/lacewingdoor/lacewingdoor/authenticator"
)

// KeyCmd prints a new bearer key and its hash.
type KeyCmd struct {
	Output string `default:"text" enum:"text,json" help:"Form of the output: text or json."`
}

// keyReport is the JSON output of the key command.
type keyReport struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

// Run prints the key, for the organisation to keep, and its hash, which is added to
// key-hashes in the organisation's file. The key is stored nowhere else.
func (k *KeyCmd) Run(c *Config) error {
	key, hash, err := authenticator.NewKey()
	if err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	if k.Output == outputJSON {
		return writeJSON(c.stdout, keyReport{Key: key, Hash: hash})
	}
	_, err = fmt.Fprintf(c.stdout, "key   %s\nhash  %s\n", key, hash)
	return err
}
