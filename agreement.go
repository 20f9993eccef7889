package foxtailwharf

import (
	"fmt"
	"strings"
	"time"
)

// AgreementName is the name of the agreement document. A fleet has exactly one.
const AgreementName = "agreement"

const (
	defaultWeight = 1
	maxWeight     = 1000
	maxRate       = 1e9 // tokens a second
	maxBurst      = time.Hour
	defaultBurst  = 2 * time.Second
)

// Agreement is the document that the members maintain together. It says who may use the fleet and
// how much of it.
type Agreement struct {
	Kind    string   `yaml:"Kind"`
	Name    string   `yaml:"Name"`
	Members []Member `yaml:"Members"`
}

// Limit is a weight for fair sharing and a rate cap. Caps apply to the whole fleet, not to each
// entry.
type Limit struct {
	Weight float64 `yaml:"Weight"`         // share relative to siblings while demand exceeds capacity
	Rate   float64 `yaml:"Rate,omitempty"` // tokens per second; 0 means no cap
	// Burst is the depth of the token bucket as a time: unused Rate accumulates for this long.
	Burst time.Duration `yaml:"Burst,omitempty"`
}

// Member is an organization that takes part in the agreement.
type Member struct {
	Name     string          `yaml:"Name"`
	Limit    Limit           `yaml:"Limit"`
	Accounts []ClientAccount `yaml:"Accounts"`
}

// ClientAccount is a customer of a member.
type ClientAccount struct {
	Name    string   `yaml:"Name"`
	Limit   Limit    `yaml:"Limit"`
	Callers []Caller `yaml:"Callers"`
}

// Caller is a client with its own bearer key.
type Caller struct {
	Name      string `yaml:"Name"`
	KeyDigest string `yaml:"KeyDigest"` // SHA-256 of the bearer key in hexadecimal
	Limit     Limit  `yaml:"Limit"`
}

// Identity names the member, client account and caller that a bearer key belongs to.
type Identity struct {
	Member  string
	Account string
	Caller  string
}

// Defaults sets fields with a zero value to their defaults, and key digests to lower case.
func (a *Agreement) Defaults() {
	setDefault(&a.Kind, KindAgreement)
	setDefault(&a.Name, AgreementName)
	for i := range a.Members {
		member := &a.Members[i]
		member.Limit.defaults()
		for j := range member.Accounts {
			account := &member.Accounts[j]
			account.Limit.defaults()
			for k := range account.Callers {
				caller := &account.Callers[k]
				caller.Limit.defaults()
				caller.KeyDigest = strings.ToLower(caller.KeyDigest)
			}
		}
	}
}

func (l *Limit) defaults() {
	setDefault(&l.Weight, defaultWeight)
	setDefault(&l.Burst, defaultBurst)
}

// Validate returns all errors in the document as Faults, or nil if there are none.
func (a *Agreement) Validate() error {
	var f Faults
	if a.Kind != KindAgreement {
		f.add("$.Kind", "must be %s", KindAgreement)
	}
	if a.Name != AgreementName {
		f.add("$.Name", "must be %s", AgreementName)
	}
	memberNames := make(map[string]bool, len(a.Members))
	keyDigests := make(map[string]bool)
	accountNames := make(map[string]bool)
	for i := range a.Members {
		path := fmt.Sprintf("$.Members[%d]", i)
		checkUnique(&f, path+".Name", a.Members[i].Name, memberNames)
		a.Members[i].validate(&f, path, accountNames, keyDigests)
	}
	return f.ErrorOrNil()
}

func (m *Member) validate(f *Faults, path string, accountNames, keyDigests map[string]bool) {
	m.Limit.validate(f, path+".Limit")
	for i := range m.Accounts {
		accountPath := fmt.Sprintf("%s.Accounts[%d]", path, i)
		account := &m.Accounts[i]
		checkUnique(f, accountPath+".Name", account.Name, accountNames)
		account.Limit.validate(f, accountPath+".Limit")
		callerNames := make(map[string]bool, len(account.Callers))
		for j := range account.Callers {
			callerPath := fmt.Sprintf("%s.Callers[%d]", accountPath, j)
			caller := &account.Callers[j]
			checkUnique(f, callerPath+".Name", caller.Name, callerNames)
			caller.Limit.validate(f, callerPath+".Limit")
			if !IsDigest(caller.KeyDigest) {
				f.add(callerPath+".KeyDigest", "must be a SHA-256 digest, %d hexadecimal digits", digestHexLength)
			}
			if keyDigests[caller.KeyDigest] {
				f.add(callerPath+".KeyDigest", "key is already used by another caller")
			}
			keyDigests[caller.KeyDigest] = true
		}
	}
}

func (l *Limit) validate(f *Faults, path string) {
	checkRange(f, path+".Weight", l.Weight, 0.001, maxWeight)
	checkRange(f, path+".Rate", l.Rate, 0, maxRate)
	checkRange(f, path+".Burst", l.Burst, time.Millisecond, maxBurst)
}

func checkUnique(f *Faults, path, name string, seen map[string]bool) {
	checkName(f, path, name)
	if seen[name] {
		f.add(path, "duplicate name %q", name)
	}
	seen[name] = true
}
