package conf_test

import (
	"fmt"
	"testing"

	"citronledge.example/core/conf"
)

// TestExampleFolders guards against example folders that the settings check refuses.
func TestExampleFolders(t *testing.T) {
	for _, name := range []string{"jhalmuri", "association"} {
		t.Run(name, func(t *testing.T) {
			folder, err := conf.ReadFolder("../../examples/" + name)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range folder.Check() {
				t.Errorf("got %s, want no problem", p.Error())
			}
		})
	}
}

func ExampleMerge() {
	folder := conf.Merge([]conf.File{
		{Name: "10-base.yaml", Data: []byte("limits: {queue: 500, body: 4096}")},
		{Name: "20-late.yaml", Data: []byte("limits: {queue: 900}")},
	})
	for _, leaf := range folder.Leaves() {
		fmt.Println(leaf.Path, leaf.Value, leaf.Position)
	}
	// Output:
	// limits/body 4096 10-base.yaml:1
	// limits/queue 900 20-late.yaml:1
}
