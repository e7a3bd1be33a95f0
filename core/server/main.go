package server

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"k8s.io/klog/v2"
)

// Exit codes of the programs.
const (
	ExitOK              = 0
	ExitFailure         = 1
	ExitInvalidSettings = 2 // settings
)

// Program is a program with its settings. Embedding Settings implements
// CommonSettings.
type Program interface {
	CommonSettings() *Settings
	// Register adds all flags of the program, including those of Settings.
	Register(fs *flag.FlagSet)
	// Validate returns all errors of the settings joined.
	Validate() error
	// Serve runs the program until it is stopped.
	Serve(ctx context.Context) error
}

// CommonSettings returns the settings that all programs have.
func (s *Settings) CommonSettings() *Settings { return s }

// LoadSettings reads the settings of a program from flags, environment
// variables and file, and validates them.
func LoadSettings(name string, args []string, p Program) error {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	p.Register(fs)
	if err := ParseSettings(fs, args, strings.ToUpper(name)); err != nil {
		return err
	}
	return p.Validate()
}

// Main runs a program and returns its exit code. With --check it only validates
// the settings.
func Main(name string, args []string, p Program) int {
	catchEarlySignals()
	err := LoadSettings(name, args, p)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitInvalidSettings
	case p.CommonSettings().CheckOnly:
		fmt.Println("settings are valid")
		return ExitOK
	}
	defer klog.Flush()
	if err := p.Serve(context.Background()); err != nil {
		klog.ErrorS(err, "Program failed", "program", name)
		return ExitFailure
	}
	return ExitOK
}
