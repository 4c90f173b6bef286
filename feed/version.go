package feed

import "fmt"

// A service that is restored from a copy gives out versions again, and counts its restores as eras. The versions in this
// package contain the era in their high bits. Any version of a later era is therefore newer than all versions of the
// eras before, at all entries, and what was written before a restore never replaces what the restored table has. Era 0
// is that of a service without eras, whose versions are unchanged.

// versionBits is the number of bits of a version that hold the service's own version.
const versionBits = 40

// NewVersion returns the version that stands for a version of the service in an era.
func NewVersion(era, serviceVersion uint64) uint64 {
	return era<<versionBits | serviceVersion&(1<<versionBits-1)
}

// FormatVersion returns a version in a form for people.
func FormatVersion(version uint64) string {
	if era := Era(version); era > 0 {
		return fmt.Sprintf("%d of era %d", ServiceVersion(version), era)
	}
	return fmt.Sprint(version)
}

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> versionBits }

// ServiceVersion returns the version of the service, which is unique within an era only.
func ServiceVersion(version uint64) uint64 { return version & (1<<versionBits - 1) }
