package document

// Owners returns the names of the operators that may change a section, in the
// order of their declaration: those whose keys are in force and whose patterns
// cover it.
func (d *Document) Owners(section string) []string {
	var names []string
	for _, o := range d.Operators() {
		if !o.Key.Withdrawn && o.Covers(section) {
			names = append(names, o.Name)
		}
	}
	return names
}

// CheckOwnership returns a problem if the change from before to after leaves
// nobody who may change the operators' section. The last operator may not be
// removed either: the bootstrap key is a setting of each entry host, and no
// entry host knows whether the others have one.
func CheckOwnership(before, after *Document) []Problem {
	declared := len(after.Operators()) > 0
	if !declared && len(before.Operators()) == 0 {
		return nil
	}
	if len(after.Owners(OperatorsSection)) > 0 {
		return nil
	}
	return []Problem{{
		Section: OperatorsSection,
		Field:   "operators",
		Allowed: "at least one operator with a key in force whose patterns cover the section " + OperatorsSection,
	}}
}
