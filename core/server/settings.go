package server

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffyaml"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/link"
)

// Settings are the settings that all programs have.
type Settings struct {
	Name         string
	Zone         string
	AdminAddr    string
	KeyFile      string
	GracePeriod  time.Duration
	DrainTimeout time.Duration
	CheckOnly    bool
}

const (
	defaultGracePeriod  = 3 * time.Second
	defaultDrainTimeout = 300 * time.Second
)

// Register adds the flags of the settings to a flag set.
func (s *Settings) Register(fs *flag.FlagSet) {
	fs.StringVar(&s.Name, "name", "", "name of this process, unique in the system")
	fs.StringVar(&s.Zone, "zone", "", "availability zone of this VM")
	fs.StringVar(&s.AdminAddr, "admin", "127.0.0.1:0", "address of the health, status and metrics pages")
	fs.StringVar(&s.KeyFile, "keys", "", "file with the session keys between processes")
	fs.DurationVar(&s.GracePeriod, "grace", defaultGracePeriod, "time between failing readiness and refusing new work at shutdown")
	fs.DurationVar(&s.DrainTimeout, "deadline", defaultDrainTimeout, "time after which a shutdown interrupts running work")
	fs.BoolVar(&s.CheckOnly, "check", false, "check the settings and exit")
	fs.String("config", "", "YAML file with the same settings")
	registerLogFlags(fs)
}

// registerLogFlags adds the two klog flags that apply to a program that logs to
// standard error.
func registerLogFlags(fs *flag.FlagSet) {
	all := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(all)
	for _, name := range []string{"v", "vmodule"} {
		f := all.Lookup(name)
		fs.Var(f.Value, f.Name, f.Usage)
	}
}

// ParseSettings reads flags, environment variables with a prefix and the YAML
// file named by --config. Flags take precedence over the environment, and the
// environment over the file.
func ParseSettings(fs *flag.FlagSet, args []string, prefix string) error {
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix(prefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ffyaml.Parser),
	)
	return eris.Wrap(err, "cannot read the settings; see --help")
}

// Validate returns all errors of the common settings joined.
func (s *Settings) Validate() error {
	var errs []error
	if s.Name == "" {
		errs = append(errs, errors.New("--name is empty; set a name that is unique in the system"))
	}
	if s.Zone == "" {
		errs = append(errs, errors.New("--zone is empty; set the availability zone of this VM"))
	}
	if s.KeyFile == "" {
		errs = append(errs, errors.New("--keys is empty; set the file with the session keys"))
	} else if _, err := link.LoadKeys(s.KeyFile); err != nil {
		errs = append(errs, fmt.Errorf("--keys: %w", err))
	}
	errs = append(errs, CheckAddr("admin", s.AdminAddr))
	if s.GracePeriod < 0 || s.DrainTimeout <= 0 {
		errs = append(errs, errors.New("--grace must not be negative and --deadline must be positive"))
	}
	return errors.Join(errs...)
}

// CheckAddr returns an error unless addr is HOST:PORT.
func CheckAddr(name, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("--%s: %q is not an address; use HOST:PORT", name, addr)
	}
	return nil
}
