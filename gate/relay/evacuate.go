package relay

import (
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
)

// SetEvacuations puts the evacuations of a configuration in force, unless those of
// a newer one are in force already. It is independent of SetPlan, since an
// evacuation may precede the first document or accompany an unusable one.
func (r *Relay) SetEvacuations(evacuations map[ident.Zone]conf.Evacuation, revision ident.Revision) {
	r.evacuationsMu.Lock()
	defer r.evacuationsMu.Unlock()
	if revision < r.evacuationsRevision {
		klog.InfoS("Older evacuations ignored", "revision", revision, "held", r.evacuationsRevision)
		return
	}
	r.evacuationsRevision = revision
	zones := slices.Sorted(maps.Keys(evacuations))
	if slices.Equal(zones, r.evacuatedZones) {
		return
	}
	r.fleet.SetEvacuated(zones)
	r.metrics.evacuatedZones.Set(float64(len(zones)))
	klog.InfoS("Evacuated zones changed", "zones", zones, "before", r.evacuatedZones, "revision", revision)
	r.evacuatedZones = zones
}

// EvacuatedZones returns the zones that are being evacuated, sorted.
func (r *Relay) EvacuatedZones() []ident.Zone {
	r.evacuationsMu.Lock()
	defer r.evacuationsMu.Unlock()
	return slices.Clone(r.evacuatedZones)
}
