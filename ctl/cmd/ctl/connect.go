package main

import (
	"context"

	"citronledge.example/core/client"
	"citronledge.example/core/link"
	"citronledge.example/ctl/admin"
)

// connect opens the connection to the state cluster. The operator is named by
// the first key of the key file.
func connect(_ context.Context, addrs []string, path string) (admin.Cluster, string, error) {
	keys, err := link.LoadKeys(path)
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
