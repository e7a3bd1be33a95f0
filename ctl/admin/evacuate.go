package admin

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// Evacuate begins the evacuation of an availability zone, or ends it. A command
// that changes nothing succeeds too.
func (a *Admin) Evacuate(ctx context.Context, zone ident.Zone, end bool, wait InForceTimeout) error {
	if err := conf.CheckZone(zone); err != nil {
		return usageError(err.Error())
	}
	result, err := a.propose(ctx, &wire.Command{Kind: &wire.Command_Evacuate{Evacuate: &wire.Evacuate{Zone: string(zone), End: end}}})
	if err != nil {
		return err
	}
	changed := result.GetChanged()
	if a.JSON {
		return a.printChange(ctx, changed, wait)
	}
	state := "is being evacuated"
	if end {
		state = "is not being evacuated"
	}
	if changed.GetRepeat() {
		state += " already"
	}
	fmt.Fprintf(a.Out, "zone %s %s, revision %d\n", zone, state, changed.GetRevision())
	if wait == 0 {
		return nil
	}
	waited, err := a.waitInForce(ctx, ident.Revision(changed.GetRevision()), wait)
	if err != nil {
		return err
	}
	a.printWaited(waited)
	return nil
}

// printEvacuations prints the evacuations in progress, and nothing without one.
func (a *Admin) printEvacuations(view *conf.View) {
	if len(view.Evacuations) == 0 {
		return
	}
	w := a.newTable("EVACUATED ZONE\tSINCE\tBY")
	for _, zone := range slices.Sorted(maps.Keys(view.Evacuations)) {
		e := view.Evacuations[zone]
		fmt.Fprintf(w, "%s\t%s\t%s\n", zone, formatTime(e.BeganAtMillis), e.Actor)
	}
	_ = w.Flush()
}
