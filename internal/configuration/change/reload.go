package change

// Files identifies configuration files that were read together.
type Files struct {
	Platform Hash // of the platform's file
	Subject  Hash // of what a transaction can change: all but the values that the platform alone decides
}

// ReloadDecision is what becomes of files that a reload has read.
type ReloadDecision uint8

// The decisions about a reload.
const (
	ReloadApply        ReloadDecision = iota // to be staged and applied
	ReloadUnchanged                          // confirmed already
	ReloadOnProbation                        // being applied or on probation already
	ReloadPlatformOnly                       // only the platform's file differs from the files that were read before
	ReloadWait                               // to wait until the active transaction has ended
	ReloadUnsigned                           // refused: a signature is required
)

// Situation is the state of the transactions, as far as decisions about reloads depend on it.
type Situation struct {
	Confirmed Hash // subject of the confirmed generation
	Busy      bool // a transaction is active
	Active    Hash // its subject
}

// Reloads decides what becomes of the files of each reload. A reload is requested by a signal that does not say who has
// sent it: the operators, who want their files applied, or the platform, which has written its own file. If only the
// platform's file has changed since the files were read last, the signal is the platform's. It then applies nothing: it
// neither puts a text in force again that was undone meanwhile, nor undoes what the operators have applied without
// writing it to their files.
//
// Files that arrive while another change is under way wait until it has ended. Only the files that were accepted last
// wait, in the state in which they were read: a file that is edited meanwhile has not been submitted. Files that are on
// probation already don't wait, so a text that is undone is not applied once more. The platform's signal, and files
// without a required signature, leave those that wait as they are.
//
// Reloads does no I/O and is not safe for concurrent use.
type Reloads struct {
	last  Files // read last
	waits bool  // files wait until the active transaction has ended
}

// NewReloads returns a Reloads for a process that has read the given files at its start.
func NewReloads(atStart Files) *Reloads { return &Reloads{last: atStart} }

// Read decides about files that were read now. signed says whether they have the signature that is required, if one is.
func (r *Reloads) Read(files Files, signed bool, s Situation) ReloadDecision {
	platformOnly := files.Subject == r.last.Subject && files.Platform != r.last.Platform
	r.last = files
	switch d := decideReload(files.Subject, s); {
	case d == ReloadUnchanged || d == ReloadOnProbation:
	case platformOnly:
		return ReloadPlatformOnly
	case !signed:
		return ReloadUnsigned
	}
	return r.Decide(files.Subject, s)
}

// Decide decides about files that were accepted, when they are to be applied or taken up after a wait.
func (r *Reloads) Decide(subject Hash, s Situation) ReloadDecision {
	d := decideReload(subject, s)
	r.waits = d == ReloadWait
	return d
}

func decideReload(subject Hash, s Situation) ReloadDecision {
	switch {
	case subject == s.Confirmed:
		return ReloadUnchanged
	case s.Busy && subject == s.Active:
		return ReloadOnProbation
	case s.Busy:
		return ReloadWait
	}
	return ReloadApply
}

// Waits reports whether files wait.
func (r *Reloads) Waits() bool { return r.waits }

// Forget makes the files that wait wait no longer.
func (r *Reloads) Forget() { r.waits = false }
