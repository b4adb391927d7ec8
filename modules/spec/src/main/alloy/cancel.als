/**
 * The stop of a cancelled job.
 *
 * The cancel is a conditional write on the job record. The owner of the job's shard hears
 * of it by its watch, late, stops dispatching and cancels what runs. An entry that takes
 * the shard over reads the job record before it dispatches anything, so a cancelled job
 * does not start again.
 */
module cancel

open util/ordering[Epoch] as epochs

-- The mechanisms under test. The commands below switch off one at a time.
enum Mechanism { JobReadOnTakeOver, RunsCancelled }

sig Disabled in Mechanism {}

sig Epoch {}

sig Run {}

var sig Dispatched, Running in Run {}

-- Present once the cancel has taken effect.
var lone sig Cancelled {}

one sig Lease { var current: one Epoch }

sig Entry {
	-- the epoch by which it believes to own the shard
	var lease: lone Epoch,
	-- what it has running
	var runs: set Run
}

-- Entries that have read the job record as open and not heard of the cancel since.
var sig BelievesOpen in Entry {}

fact Initially {
	no Dispatched
	no Running
	no Cancelled
	no runs
	no lease
	no BelievesOpen
	current = Lease -> epochs/first
}

pred runsUnchanged {
	Dispatched' = Dispatched
	Running' = Running
	runs' = runs
}

-- An entry takes the shard over and reads the job record. It may still have items running
-- from a time when it owned the shard before; of a cancelled job it cancels these too.
pred take[e: Entry] {
	some epochs/next[Lease.current]
	current' = Lease -> epochs/next[Lease.current]
	lease' = lease - e -> Epoch + e -> epochs/next[Lease.current]
	JobReadOnTakeOver in Disabled
		implies BelievesOpen' = BelievesOpen + e
		else (some Cancelled implies BelievesOpen' = BelievesOpen - e else BelievesOpen' = BelievesOpen + e)
	(some Cancelled and RunsCancelled not in Disabled)
		implies (Running' = Running - e.runs and runs' = runs - e -> Run)
		else (Running' = Running and runs' = runs)
	Dispatched' = Dispatched
	Cancelled' = Cancelled
}

pred dispatch[e: Entry, r: Run] {
	some e.lease
	e in BelievesOpen
	r not in Dispatched
	Dispatched' = Dispatched + r
	Running' = Running + r
	runs' = runs + e -> r
	lease' = lease
	current' = current
	BelievesOpen' = BelievesOpen
	Cancelled' = Cancelled
}

pred cancel {
	no Cancelled
	some Cancelled'
	lease' = lease
	current' = current
	BelievesOpen' = BelievesOpen
	runsUnchanged
}

-- The watch tells an entry of the cancel; it cancels what it has running.
pred hear[e: Entry] {
	some Cancelled
	e in BelievesOpen
	BelievesOpen' = BelievesOpen - e
	Dispatched' = Dispatched
	RunsCancelled in Disabled
		implies (Running' = Running and runs' = runs)
		else (Running' = Running - e.runs and runs' = runs - e -> Run)
	lease' = lease
	current' = current
	Cancelled' = Cancelled
}

-- A run ends by itself, or with its entry.
pred finish[r: Run] {
	r in Running
	Running' = Running - r
	runs' = runs - Entry -> r
	Dispatched' = Dispatched
	lease' = lease
	current' = current
	BelievesOpen' = BelievesOpen
	Cancelled' = Cancelled
}

pred crash[e: Entry] {
	some e.lease
	lease' = lease - e -> Epoch
	BelievesOpen' = BelievesOpen - e
	-- its links close, and the sidecars cancel what it had running
	Running' = Running - e.runs
	runs' = runs - e -> Run
	Dispatched' = Dispatched
	current' = current
	Cancelled' = Cancelled
}

pred stutter {
	lease' = lease
	current' = current
	BelievesOpen' = BelievesOpen
	Cancelled' = Cancelled
	runsUnchanged
}

fact Transitions {
	always (
		stutter
		or cancel
		or (some e: Entry | take[e] or hear[e] or crash[e])
		or (some e: Entry, r: Run | dispatch[e, r])
		or (some r: Run | finish[r])
	)
}

-- Properties

-- When every entry has heard of the cancel, nothing is dispatched any more, whoever takes
-- the shard over, and nothing runs.
pred stops {
	always ((some Cancelled and no BelievesOpen) implies always (Dispatched' = Dispatched and no Running))
}

check Stops { no Disabled implies stops }
	for exactly 3 Entry, exactly 4 Epoch, exactly 3 Run, 1 Cancelled, 12 .. 12 steps expect 0

-- Mutants: each lacks one mechanism and must break a property.

check MutantNoJobReadOnTakeOver { Disabled = JobReadOnTakeOver implies stops }
	for exactly 2 Entry, exactly 3 Epoch, exactly 2 Run, 1 Cancelled, 8 .. 8 steps expect 1

check MutantRunsNotCancelled { Disabled = RunsCancelled implies stops }
	for exactly 2 Entry, exactly 3 Epoch, exactly 2 Run, 1 Cancelled, 8 .. 8 steps expect 1

-- Non-vacuity: the traces that the properties are about exist.

-- The owner is lost while the cancel is under way; the next owner finds the job cancelled.
run NextOwnerFindsTheCancel {
	no Disabled
	some disj a, b: Entry {
		eventually (some Cancelled and a in BelievesOpen and some a.runs and crash[a]
			and after eventually (take[b] and b not in BelievesOpen'))
	}
} for exactly 2 Entry, exactly 3 Epoch, exactly 2 Run, 1 Cancelled, 10 .. 10 steps expect 1
