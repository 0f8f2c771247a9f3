package origin

import "slices"

// SoftwareLog is the log, in the store, of the software versions of one service at which
// streams may run that can be resumed. A version is added before the first stream begins
// there, so that the log tells which version began a stream after all VMs were lost. It
// holds no times: the clocks of VMs are not compared.
type SoftwareLog struct {
	// Complete is set once the log has all versions at which streams may run. A log that
	// a VM creates is incomplete until a VM has watched the list of targets for the
	// retention, because streams may have begun before the log.
	Complete bool            `json:"complete"`
	Versions []LoggedVersion `json:"versions"`
}

// LoggedVersion is a software version in the log.
type LoggedVersion struct {
	Version string `json:"version"`
	// Leaving is set by the first of the two writes that remove the version. A removal
	// whose response was lost may take effect late. A VM that uses the version again
	// finds the mark and clears it, which makes the late removal fail.
	Leaving bool `json:"leaving,omitempty"`
}

// Sighting is what one VM observed of a service's software versions by its own clock.
type Sighting struct {
	// Recent are the versions that had a registered target within the retention.
	Recent []string
	// Complete is set if the VM has watched the list of targets for the retention or
	// longer.
	Complete bool
	// Removes is set at the VM that removes versions.
	Removes bool
	// Newer is set if the VM's list of targets is not older than the stored log: a version
	// that was registered again before the log was written is among Recent.
	Newer bool
}

// Next returns the log that should be stored after the given sighting. It is equal to
// the stored one if nothing has to be written.
func (softwareLog SoftwareLog) Next(sighting Sighting) SoftwareLog {
	next := SoftwareLog{Complete: softwareLog.Complete || sighting.Complete}
	for _, logged := range softwareLog.Versions {
		switch {
		case slices.Contains(sighting.Recent, logged.Version):
			logged.Leaving = false
		case !sighting.Removes || !sighting.Complete:
		case !logged.Leaving:
			logged.Leaving = true
		case sighting.Newer:
			continue
		}
		next.Versions = append(next.Versions, logged)
	}
	for _, version := range sighting.Recent {
		if !slices.ContainsFunc(next.Versions, func(logged LoggedVersion) bool { return logged.Version == version }) {
			next.Versions = append(next.Versions, LoggedVersion{Version: version})
		}
	}
	return next
}

// Equal reports whether both logs have the same content.
func (softwareLog SoftwareLog) Equal(other SoftwareLog) bool {
	return softwareLog.Complete == other.Complete && slices.Equal(softwareLog.Versions, other.Versions)
}

// Has reports whether streams may begin at a version.
func (softwareLog SoftwareLog) Has(version string) bool {
	return slices.Contains(softwareLog.Versions, LoggedVersion{Version: version})
}

// Several reports whether streams may run at more than one version, of those in the log
// and the given ones, or at versions that the log does not have.
func (softwareLog SoftwareLog) Several(seen []string) bool {
	return !softwareLog.Complete || softwareLog.count(seen) > 1
}

// Single reports whether streams can have begun at one version alone, of those in the
// log and the given ones.
func (softwareLog SoftwareLog) Single(seen []string) bool {
	return softwareLog.Complete && softwareLog.count(seen) == 1
}

func (softwareLog SoftwareLog) count(seen []string) int {
	versions := slices.Clone(seen)
	for _, logged := range softwareLog.Versions {
		versions = append(versions, logged.Version)
	}
	slices.Sort(versions)
	return len(slices.Compact(versions))
}
