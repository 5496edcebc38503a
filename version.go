package vane

// revisionBits is the number of low bits of a version that hold a revision.
const revisionBits = 40

// VersionOf returns the version of an object that a platform has changed at a revision,
// after coming back from a copy restores times. Each time its revisions go back and are
// given out again, so that only versions put its changes in order.
func VersionOf(restores, revision uint64) uint64 {
	return restores<<revisionBits | revision&(1<<revisionBits-1)
}

// RestoresOf returns how often the platform had come back from a copy when it stated the
// version.
func RestoresOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the platform's revision of a version; zero for an object that does
// not exist.
func RevisionOf(version uint64) uint64 { return version & (1<<revisionBits - 1) }
