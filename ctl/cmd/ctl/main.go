// Command ctl is the operators' command line of citronledge.
package main

import (
	"context"
	"os"
	"os/signal"

	"citronledge.example/ctl/admin"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	os.Exit(admin.Run(ctx, os.Args[1:], connect, os.Stdout, os.Stderr))
}
