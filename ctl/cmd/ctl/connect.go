package main

import (
	"context"

	"citronledge.example/core/client"
	"citronledge.example/core/link"
	"citronledge.example/ctl/admin"
)

// connect opens the connection to the state cluster. The name of the first key in
// the key file is the name of the operator.
func connect(_ context.Context, addrs []string, keyFile string) (admin.Cluster, string, error) {
	keys, err := link.LoadKeys(keyFile)
	if err != nil {
		return nil, "", err
	}
	actor := keys.SigningKey().Name
	c, err := client.New(
		client.WithAddresses(addrs...),
		client.WithLink(link.Config{Name: "ctl " + actor, Keys: keys}),
	)
	return c, actor, err
}
