package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// SettingError says what is wrong with one setting.
type SettingError struct {
	Key     string // its place in the file, as in cluster.workers.lease_s
	Value   string // as it was read, empty if it is missing
	Problem string // what is wrong with it, or what is allowed
}

// Error implements error.
func (e *SettingError) Error() string {
	if e.Value == "" {
		return e.Key + " " + e.Problem
	}
	return e.Key + ": " + e.Value + " " + e.Problem
}

// UnknownKeyError says that the operators' properties have no such key.
type UnknownKeyError struct {
	Key   string
	Known []string
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s: no such key; known are %v", e.Key, e.Known)
}

// InvalidError is all that is wrong with the settings of a file, a line for each.
type InvalidError struct {
	Problems []error // each a *SettingError or an *UnknownKeyError
}

// Error implements error: a line for each problem.
func (e *InvalidError) Error() string { return errors.Join(e.Problems...).Error() }

func (e *InvalidError) Unwrap() []error { return e.Problems }

// SyntaxError says where a file is no TOML, or has a value of a wrong kind.
type SyntaxError struct {
	Key   string // the value's place, as in cluster.state.rps, if it has one
	cause *toml.DecodeError
}

func newSyntaxError(cause *toml.DecodeError) *SyntaxError {
	return &SyntaxError{Key: strings.Join(cause.Key(), "."), cause: cause}
}

// Error shows the place in the file.
func (e *SyntaxError) Error() string { return e.cause.String() }

func (e *SyntaxError) Unwrap() error { return e.cause }

// FileError names the file that an error is about.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

func (e *FileError) Unwrap() error { return e.Err }
