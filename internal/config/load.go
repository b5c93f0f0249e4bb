package config

import (
	"errors"
	"os"

	"github.com/gappond/gappond/internal/tuning"
	"github.com/pelletier/go-toml/v2"
)

// Load reads and checks the settings file and, unless propertiesPath is empty, the operators'
// properties file.
func Load(path, propertiesPath string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(data)
	if err != nil {
		return nil, &FileError{File: path, Err: err}
	}
	if propertiesPath != "" {
		data, err := os.ReadFile(propertiesPath)
		if err != nil {
			return nil, err
		}
		if c.Operator, err = ParseProperties(data); err != nil {
			return nil, &FileError{File: propertiesPath, Err: err}
		}
	}
	return c, nil
}

// Parse decodes and checks the platform's settings. Unknown fields are ignored.
func Parse(data []byte) (*Config, error) {
	c := &Config{Operator: tuning.Defaults()}
	if err := toml.Unmarshal(data, c); err != nil {
		var cause *toml.DecodeError
		if errors.As(err, &cause) {
			return nil, newSyntaxError(cause)
		}
		return nil, err
	}
	if err := c.check(); err != nil {
		return c, err
	}
	if present := c.Cluster.Store; present.Next != nil {
		c.Cluster.Present, c.Cluster.Store = &present, present.Smallest()
	}
	return c, nil
}
