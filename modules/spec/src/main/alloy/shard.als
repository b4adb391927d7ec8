/**
 * One shard of the batch work and the result record of one chunk of items.
 *
 * The lease of the shard is taken over by raising its epoch. A holder may be paused for
 * any time and wake up believing that it still owns the shard, so the model lets anybody
 * take the shard over at any moment: no property here rests on clocks. The result record
 * is changed only by conditional writes that carry the owner's epoch. Answers of the
 * store may be lost, and a write may take effect long after it was sent.
 *
 * Two steps are merged where they commute with all others: taking the lease and first
 * reading the record, and the effect of a write and the arrival of its answer.
 */
module shard

open util/ordering[Epoch] as epochs
open util/ordering[Write] as writes

-- The mechanisms under test. The commands below switch off one at a time.
enum Mechanism { ConditionalWrite, EpochCheck, ReadBack, StartRecord }

sig Disabled in Mechanism {}

sig Epoch {}

sig Item {}

-- Items that may be run at most once.
sig NonIdempotent in Item {}

-- One dispatch of an item to an upstream.
sig Run {
	item: one Item,
	dispatcher: one Entry
}

-- Every run that was dispatched so far.
var sig Dispatched in Run {}

-- A write of the result record. The atom is the write's stamp and the version it makes.
sig Write {
	writer: lone Entry,
	epoch: one Epoch,
	expected: lone Write,
	started: set Item,
	results: Item -> lone Run,
	unknown: set Item
}

-- The record as the shard's first owner created it. Writes are ordered by when they are
-- sent, which spares the solver their permutations.
fun Blank: Write { writes/first }

var sig Sent in Write {}

var sig InFlight in Write {}

one sig Store {
	var record: one Write,
	var leaseEpoch: one Epoch
}

sig Entry {
	-- the epoch by which it believes to own the shard
	var lease: lone Epoch,
	-- the version of the record that it last read or wrote
	var known: lone Write,
	-- its write that was not answered yet
	var pending: lone Write,
	-- items that were started before it took the shard over
	var inherited: set Item,
	-- non-idempotent items that it has dispatched since
	var ran: set Item
}

fun ended[w: Write]: set Item { w.results.Run + w.unknown }

fact BlankRecord {
	no Blank.writer
	no Blank.expected
	no Blank.started
	no Blank.results
	no Blank.unknown
	Blank.epoch = epochs/first
}

fact ResultsAreOfTheirItems {
	all w: Write, i: Item | w.results[i].item in i
}

fact Initially {
	no Dispatched
	Sent = Blank
	no InFlight
	Store.record = Blank
	Store.leaseEpoch = epochs/first
	no pending
	no inherited
	no ran
	one owner: Entry | lease = owner -> epochs/first and known = owner -> Blank
}

-- Frames

pred entriesUnchangedBut[e: Entry] {
	all other: Entry - e {
		other.lease' = other.lease
		other.known' = other.known
		other.pending' = other.pending
		other.inherited' = other.inherited
		other.ran' = other.ran
	}
}

pred storeUnchanged {
	record' = record
	leaseEpoch' = leaseEpoch
}

pred forgets[e: Entry] {
	no e.lease'
	no e.known'
	no e.pending'
	no e.inherited'
	no e.ran'
}

-- Transitions

-- An entry takes the shard over and reads the record.
pred take[e: Entry] {
	some epochs/next[Store.leaseEpoch]
	leaseEpoch' = Store -> epochs/next[Store.leaseEpoch]
	record' = record
	e.lease' = epochs/next[Store.leaseEpoch]
	e.known' = Store.record
	no e.pending'
	e.inherited' = Store.record.started
	no e.ran'
	entriesUnchangedBut[e]
	Sent' = Sent
	InFlight' = InFlight
	Dispatched' = Dispatched
}

-- An owner reads the record again after a conflict; a newer epoch in it tells the owner
-- that it was deposed.
pred reread[e: Entry] {
	some e.lease
	no e.known
	no e.pending
	(EpochCheck not in Disabled and epochs/gt[Store.record.epoch, e.lease]) implies forgets[e] else {
		e.lease' = e.lease
		e.known' = Store.record
		no e.pending'
		e.inherited' = e.inherited
		e.ran' = e.ran
	}
	entriesUnchangedBut[e]
	storeUnchanged
	Sent' = Sent
	InFlight' = InFlight
	Dispatched' = Dispatched
}

-- What an owner may write. Its first write only puts its own epoch into the record and
-- ends what earlier owners had started, as nobody can tell how that ended.
pred content[e: Entry, w: Write] {
	w.writer = e
	w.epoch = e.lease
	w.expected = e.known
	epochs/lt[e.known.epoch, e.lease] implies {
		w.started = e.known.started
		w.results = e.known.results
		w.unknown = e.known.unknown + (e.known.started - ended[e.known])
	} else {
		e.known.started in w.started
		w.started - e.known.started in NonIdempotent - ended[e.known]
		e.known.results in w.results
		no (w.results - e.known.results).Run & ended[e.known]
		Item.(w.results - e.known.results) in Dispatched & dispatcher.e
		w.unknown = e.known.unknown
	}
}

pred send[e: Entry, w: Write] {
	some e.lease
	some e.known
	no e.pending
	w = writes/min[Write - Sent]
	content[e, w]
	Sent' = Sent + w
	InFlight' = InFlight + w
	pending' = pending + e -> w
	lease' = lease
	known' = known
	inherited' = inherited
	ran' = ran
	storeUnchanged
	Dispatched' = Dispatched
}

-- A write reaches the store. Its answer may be lost, and a copy may still be on its way.
pred arrive[w: Write] {
	w in InFlight
	InFlight' in InFlight
	InFlight - w in InFlight'
	(w.expected = Store.record or ConditionalWrite in Disabled)
		implies record' = Store -> w
		else record' = record
	leaseEpoch' = leaseEpoch
	let e = pending.w | some e implies {
		e.lease' = e.lease
		e.inherited' = e.inherited
		e.ran' = e.ran
		entriesUnchangedBut[e]
		{
			-- the answer is lost
			e.known' = e.known
			e.pending' = e.pending
		} or {
			-- the answer arrives
			no e.pending'
			e.known' = ((Store.record' = w and Store.record != w) implies w else none)
		}
	} else entriesUnchangedBut[none]
	Sent' = Sent
	Dispatched' = Dispatched
}

-- After a timeout the writer reads the record back. Its own stamp tells that the write
-- has taken effect; an unchanged record lets it send the same write again.
pred readBack[e: Entry] {
	some e.pending
	entriesUnchangedBut[e]
	storeUnchanged
	Sent' = Sent
	Dispatched' = Dispatched
	e.inherited' = e.inherited
	e.ran' = e.ran
	e.lease' = e.lease
	ReadBack in Disabled implies {
		-- the mutant takes the write for done
		e.known' = e.pending
		no e.pending'
		InFlight' = InFlight
	} else Store.record = e.pending implies {
		e.known' = e.pending
		no e.pending'
		InFlight' = InFlight
	} else Store.record = e.known implies {
		e.known' = e.known
		e.pending' = e.pending
		InFlight' = InFlight + e.pending
	} else {
		no e.known'
		no e.pending'
		InFlight' = InFlight
	}
}

-- Whether an owner may run an item, by what it knows.
pred mayRun[e: Entry, i: Item] {
	e.known.epoch = e.lease or EpochCheck in Disabled
	i not in ended[e.known]
	i in NonIdempotent implies {
		i not in e.ran + e.inherited
		StartRecord in Disabled or i in e.known.started
	}
}

pred dispatch[r: Run] {
	let e = r.dispatcher {
		some e.lease
		some e.known
		r not in Dispatched
		mayRun[e, r.item]
		e.ran' = e.ran + (r.item & NonIdempotent)
		e.lease' = e.lease
		e.known' = e.known
		e.pending' = e.pending
		e.inherited' = e.inherited
		entriesUnchangedBut[e]
	}
	Dispatched' = Dispatched + r
	storeUnchanged
	Sent' = Sent
	InFlight' = InFlight
}

-- The process is lost and replaced by one that knows nothing.
pred crash[e: Entry] {
	some e.lease
	forgets[e]
	entriesUnchangedBut[e]
	storeUnchanged
	Sent' = Sent
	InFlight' = InFlight
	Dispatched' = Dispatched
}

pred stutter {
	entriesUnchangedBut[none]
	storeUnchanged
	Sent' = Sent
	InFlight' = InFlight
	Dispatched' = Dispatched
}

fact Transitions {
	always (
		stutter
		or (some e: Entry | take[e] or reread[e] or readBack[e] or crash[e])
		or (some e: Entry, w: Write | send[e, w])
		or (some w: Write | arrive[w])
		or (some r: Run | dispatch[r])
	)
}

-- Properties

-- A result that could be read stays readable and is never replaced by another.
pred completesOnce {
	always {
		Store.record.results in Store.record'.results
		Store.record.unknown in Store.record'.unknown
		no Store.record.results.Run & Store.record.unknown
	}
}

pred nonIdempotentRunsOnce {
	always all i: NonIdempotent | lone Dispatched & item.i
}

pred recordEpochNeverFalls {
	always epochs/gte[Store.record'.epoch, Store.record.epoch]
}

check CompletesOnce { no Disabled implies completesOnce }
	for exactly 2 Entry, exactly 3 Epoch, exactly 1 Item, exactly 2 Run, exactly 5 Write, 10 .. 10 steps expect 0

check CompletesOnceWithTwoItems { no Disabled implies completesOnce }
	for exactly 2 Entry, exactly 3 Epoch, exactly 2 Item, exactly 3 Run, exactly 5 Write, 10 .. 10 steps expect 0

check NonIdempotentRunsOnce { no Disabled implies nonIdempotentRunsOnce }
	for exactly 2 Entry, exactly 3 Epoch, exactly 1 Item, exactly 2 Run, exactly 5 Write, 10 .. 10 steps expect 0

check RecordEpochNeverFalls { no Disabled implies recordEpochNeverFalls }
	for exactly 2 Entry, exactly 3 Epoch, exactly 1 Item, exactly 2 Run, exactly 5 Write, 10 .. 10 steps expect 0

-- Mutants: each lacks one mechanism and must break a property.

check MutantUnconditionalWrite { Disabled = ConditionalWrite implies completesOnce }
	for exactly 2 Entry, exactly 2 Epoch, exactly 1 Item, exactly 2 Run, exactly 5 Write, 10 .. 10 steps expect 1

check MutantNoEpochCheck { Disabled = EpochCheck implies nonIdempotentRunsOnce }
	for exactly 2 Entry, exactly 2 Epoch, exactly 1 Item, exactly 2 Run, exactly 5 Write, 12 .. 12 steps expect 1

check MutantNoReadBack { Disabled = ReadBack implies nonIdempotentRunsOnce }
	for exactly 2 Entry, exactly 2 Epoch, exactly 1 Item, exactly 2 Run, exactly 5 Write, 10 .. 10 steps expect 1

check MutantStartRecordAfterDispatch { Disabled = StartRecord implies nonIdempotentRunsOnce }
	for exactly 2 Entry, exactly 2 Epoch, exactly 1 Item, exactly 2 Run, exactly 5 Write, 8 .. 8 steps expect 1

-- Non-vacuity: the traces that the properties are about exist.

-- A paused owner's write reaches the store after the take-over and has no effect, and the
-- new owner completes the item.
run DeposedOwnerComesTooLate {
	no Disabled
	some disj a, b: Entry, late, done: Write {
		late.writer = a and done.writer = b
		eventually (arrive[late] and Store.record.epoch = b.lease and record' = record)
		eventually (Store.record = done and some done.results)
	}
}
	for exactly 2 Entry, exactly 2 Epoch, exactly 1 Item, exactly 1 Run, exactly 4 Write, 10 .. 10 steps expect 1

-- A non-idempotent item is run, its owner is lost, and the next owner ends it as unknown.
run StartedItemEndsUnknown {
	no Disabled
	eventually (some Dispatched and some Store.record.unknown)
}
	for exactly 2 Entry, exactly 2 Epoch, exactly 1 Item, exactly 1 Run, exactly 4 Write, 10 .. 10 steps expect 1
