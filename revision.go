package foxtailwharf

// EraShift places the era of the store above its own revision in a revision, so that revisions of a later era are
// higher. The era counts how often the store has come back from an older copy; it gives its revisions out again then.
const EraShift = 44

// OrderedRevision returns the revision of an era among those of all eras.
func OrderedRevision(era, revision uint64) uint64 {
	return era<<EraShift | revision
}

// SplitRevision undoes OrderedRevision.
func SplitRevision(ordered uint64) (era, revision uint64) {
	return ordered >> EraShift, ordered & (1<<EraShift - 1)
}

// IsFromEarlierEra reports whether a revision is known, and the store has come back from an older copy between it and a
// later one.
func IsFromEarlierEra(revision, later uint64) bool {
	return revision != 0 && revision>>EraShift < later>>EraShift
}
