package document

import (
	"fmt"
	"math"
	"path"
	"regexp"
	"strconv"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Bounds of the values in the document.
const (
	// maxNameLength is the longest name, in bytes.
	maxNameLength = 63
	// maxCount bounds every number of hosts, requests or jobs, so that a
	// slip of the keyboard is noticed and sums stay far from overflow.
	maxCount = 1_000_000
	// maxShare bounds a share, so that ratios of shares stay exact enough.
	maxShare = 1_000_000
)

// Descriptions of what is allowed.
const (
	allowedName             = "1 to 63 letters, digits, '-' or '_', beginning with a letter or a digit"
	allowedCount            = "0 to 1000000"
	allowedShare            = "a number above 0 and at most 1000000"
	allowedPattern          = "a pattern such as \"klang-*\": * and ? match within a name, [a-z] matches one character of a set"
	allowedKind             = "worker or backend-server"
	allowedClass            = "urgent, interactive or batch"
	allowedSalt             = "2 to 128 lower-case hexadecimal digits"
	allowedHash             = "64 lower-case hexadecimal digits"
	allowedBoundOfFixedPool = "a bound only with elastic: true"
	hiddenValue             = "(hidden)"
)

// Names have no dot, because a presented key is split at dots, and no slash,
// because rows at the platform are named after them.
var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)
	saltPattern = regexp.MustCompile(`^[0-9a-f]{2,128}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Problem is one fault of a document.
type Problem struct {
	// Section is the name of the section that has the fault.
	Section string
	// Field is the path of the field within the section, such as
	// "pools[0].adopt[1]"; it is empty for the section as a whole.
	Field string
	// Item is the name of the pool, team, queue or operator, if it has one.
	Item string
	// Value is what was found; salts and hashes of keys are hidden.
	Value string
	// Allowed describes what is allowed.
	Allowed string
}

// String returns one line for operators.
func (p Problem) String() string {
	where := "section " + p.Section
	if p.Field != "" {
		where += ": " + p.Field
	}
	if p.Item != "" {
		where += " (" + p.Item + ")"
	}
	return fmt.Sprintf("%s: %q is not allowed; want %s", where, p.Value, p.Allowed)
}

// ValidName reports whether name is well formed.
func ValidName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}

// ValidKey reports whether the stored form of a key is well formed.
func ValidKey(k Key) bool {
	return ValidName(k.ID) && saltPattern.MatchString(k.Salt) && hashPattern.MatchString(k.Hash)
}

// Validate returns all problems of a whole document, ordered by section and
// by position in it.
func Validate(d *Document) []Problem {
	v := validator{document: d, declared: make(map[string]string), sparePools: make(map[fleet.HostKind]string)}
	for _, name := range d.SectionNames() {
		v.validateSection(name, d.Sections[name])
	}
	return v.problems
}

type validator struct {
	document *Document
	section  string
	problems []Problem
	// declared maps "kind/name" to the section of the first declaration.
	declared   map[string]string
	sparePools map[fleet.HostKind]string
}

func (v *validator) reject(field, item, value, allowed string) {
	v.problems = append(v.problems, Problem{Section: v.section, Field: field, Item: item, Value: value, Allowed: allowed})
}

func (v *validator) validateSection(name string, s Section) {
	v.section = name
	if s.Name != name {
		v.reject("section", "", s.Name, "the name under which the section is applied, "+strconv.Quote(name))
	}
	if !ValidName(name) {
		v.reject("section", "", name, allowedName)
	}
	for i, p := range s.Pools {
		v.validatePool(indexedField("pools", i), p)
	}
	for i, t := range s.Teams {
		v.validateTeam(indexedField("teams", i), t)
	}
	for i, q := range s.Queues {
		v.validateQueue(indexedField("queues", i), q)
	}
	if len(s.Operators) > 0 && name != OperatorsSection {
		v.reject("operators", "", fmt.Sprintf("%d operators", len(s.Operators)), "operators only in the section "+OperatorsSection)
	}
	for i, o := range s.Operators {
		v.validateOperator(indexedField("operators", i), o)
	}
}

func indexedField(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

// checkName checks the form of a name and that it is declared once.
func (v *validator) checkName(kind, field, name string) {
	if !ValidName(name) {
		v.reject(field+".name", "", name, allowedName)
		return
	}
	id := kind + "/" + name
	if first, taken := v.declared[id]; taken {
		v.reject(field+".name", name, name, "a name that no other "+kind+" has; section "+first+" declares it")
		return
	}
	v.declared[id] = v.section
}

func (v *validator) checkCount(field, item string, n int) {
	if n < 0 || n > maxCount {
		v.reject(field, item, strconv.Itoa(n), allowedCount)
	}
}

func (v *validator) checkPatterns(field, item string, patterns []string) {
	for i, pattern := range patterns {
		if _, err := path.Match(pattern, ""); err != nil || pattern == "" {
			v.reject(indexedField(field, i), item, pattern, allowedPattern)
		}
	}
}

func (v *validator) validatePool(field string, p Pool) {
	v.checkName("pool", field, p.Name)
	if p.Kind != fleet.KindWorker && p.Kind != fleet.KindBackendServer {
		v.reject(field+".kind", p.Name, string(p.Kind), allowedKind)
	}
	v.checkPatterns(field+".adopt", p.Name, p.Adopt)
	v.checkCount(field+".maxUnavailable", p.Name, p.MaxUnavailable)
	v.checkNarrowerBound(field+".maxUnavailablePerZone", p, p.MaxUnavailablePerZone)
	v.checkNarrowerBound(field+".maxRacksOut", p, p.MaxRacksOut)
	v.validateSpare(field+".spare", p)
	v.validateElastic(field, p)
}

// checkNarrowerBound checks a narrower bound; one above maxUnavailable would never apply.
func (v *validator) checkNarrowerBound(field string, p Pool, n int) {
	if n < 0 || n > max(p.MaxUnavailable, 0) {
		v.reject(field, p.Name, strconv.Itoa(n), fmt.Sprintf("0 (no bound of its own) to maxUnavailable, %d", p.MaxUnavailable))
	}
}

func (v *validator) validateSpare(field string, p Pool) {
	if !p.Spare {
		return
	}
	if first, taken := v.sparePools[p.Kind]; taken {
		v.reject(field, p.Name, "true", "one spare pool of kind "+string(p.Kind)+"; pool "+first+" is spare")
		return
	}
	v.sparePools[p.Kind] = p.Name
}

// validateElastic rejects bounds that would never apply.
func (v *validator) validateElastic(field string, p Pool) {
	v.checkCount(field+".minHosts", p.Name, p.MinHosts)
	v.checkCount(field+".maxHosts", p.Name, p.MaxHosts)
	switch {
	case !p.Elastic && p.MinHosts > 0:
		v.reject(field+".minHosts", p.Name, strconv.Itoa(p.MinHosts), allowedBoundOfFixedPool)
	case !p.Elastic && p.MaxHosts > 0:
		v.reject(field+".maxHosts", p.Name, strconv.Itoa(p.MaxHosts), allowedBoundOfFixedPool)
	case p.MaxHosts > 0 && p.MinHosts > p.MaxHosts:
		v.reject(field+".minHosts", p.Name, strconv.Itoa(p.MinHosts), fmt.Sprintf("0 to maxHosts, %d", p.MaxHosts))
	}
}

func (v *validator) validateTeam(field string, t Team) {
	v.checkName("team", field, t.Name)
	if math.IsNaN(t.Share) || t.Share <= 0 || t.Share > maxShare {
		v.reject(field+".share", t.Name, strconv.FormatFloat(t.Share, 'g', -1, 64), allowedShare)
	}
	v.checkCount(field+".limit", t.Name, t.Limit)
	ids := make(map[string]bool, len(t.Keys))
	for i, k := range t.Keys {
		keyField := indexedField(field+".keys", i)
		v.validateKey(keyField, t.Name, k)
		if ids[k.ID] {
			v.reject(keyField+".id", t.Name, k.ID, "an identifier that no other key of the team has")
		}
		ids[k.ID] = true
	}
}

func (v *validator) validateKey(field, item string, k Key) {
	if !ValidName(k.ID) {
		v.reject(field+".id", item, k.ID, allowedName)
	}
	if !saltPattern.MatchString(k.Salt) {
		v.reject(field+".salt", item, hiddenValue, allowedSalt)
	}
	if !hashPattern.MatchString(k.Hash) {
		v.reject(field+".hash", item, hiddenValue, allowedHash)
	}
}

func (v *validator) validateQueue(field string, q Queue) {
	v.checkName("queue", field, q.Name)
	if _, ok := v.document.Team(q.Team); !ok {
		v.reject(field+".team", q.Name, q.Team, "the name of a team that a section declares")
	}
	if _, ok := v.document.Pool(q.Pool); !ok {
		v.reject(field+".pool", q.Name, q.Pool, "the name of a pool of kind "+allowedKind+" that a section declares")
	}
	switch q.Class {
	case fleet.ClassUrgent, fleet.ClassInteractive, fleet.ClassBatch:
	default:
		v.reject(field+".class", q.Name, string(q.Class), allowedClass)
	}
	v.checkCount(field+".maxWaiting", q.Name, q.MaxWaiting)
}

func (v *validator) validateOperator(field string, o Operator) {
	v.checkName("operator", field, o.Name)
	v.validateKey(field+".key", o.Name, o.Key)
	if len(o.Sections) == 0 && !o.Hosts {
		v.reject(field+".sections", o.Name, "", "at least one pattern of section names, or hosts: true")
	}
	v.checkPatterns(field+".sections", o.Name, o.Sections)
}
