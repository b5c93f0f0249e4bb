package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// SettingError is the error for one invalid setting.
type SettingError struct {
	Key     string // path in the file, such as cluster.workers.lease_s
	Value   string // as it was read, empty if the setting is missing
	Problem string // what is wrong with the value, or which values are allowed
}

// Error implements error.
func (e *SettingError) Error() string {
	if e.Value == "" {
		return e.Key + " " + e.Problem
	}
	return e.Key + ": " + e.Value + " " + e.Problem
}

// UnknownKeyError is the error for a key that is not an operators' property.
type UnknownKeyError struct {
	Key   string
	Known []string
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s: no such key; known are %v", e.Key, e.Known)
}

// InvalidError holds all problems of the settings in a file.
type InvalidError struct {
	Problems []error // each is a *SettingError or an *UnknownKeyError
}

// Error implements error. It returns one line for each problem.
func (e *InvalidError) Error() string { return errors.Join(e.Problems...).Error() }

func (e *InvalidError) Unwrap() []error { return e.Problems }

// SyntaxError is the error for a file that is not valid TOML or has a value of the wrong type.
type SyntaxError struct {
	Key   string // path of the value, such as cluster.state.rps, if there is one
	cause *toml.DecodeError
}

func newSyntaxError(cause *toml.DecodeError) *SyntaxError {
	return &SyntaxError{Key: strings.Join(cause.Key(), "."), cause: cause}
}

// Error implements error. It shows the position in the file.
func (e *SyntaxError) Error() string { return e.cause.String() }

func (e *SyntaxError) Unwrap() error { return e.cause }

// FileError adds the name of the file to an error about it.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

func (e *FileError) Unwrap() error { return e.Err }
