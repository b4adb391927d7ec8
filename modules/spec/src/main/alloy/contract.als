/**
 * The accepted contract and the version in force at each process.
 *
 * Operators edit the newest text that they know and submit it; the store accepts it by a
 * conditional update. Processes hear of versions by a watch, which may end and lose
 * events, and from peers, which may be behind. A process only ever moves to a higher
 * version, and lists again after its watch has ended.
 */
module contract

open util/ordering[Text] as texts

-- The mechanisms under test. The commands below switch off one at a time.
enum Mechanism { ConditionalAccept, OnlyForward, RelistAfterGap, ReadBack }

sig Disabled in Mechanism {}

-- A submitted text. Texts are ordered by when they reach the store.
sig Text {
	-- the text that the operator edited
	base: lone Text
}

-- Texts that the store has accepted.
var sig Accepted in Text {}

-- Texts that have reached the store.
var sig Arrived in Text {}

-- Texts whose operator was told that they were accepted, or that they were not.
var sig Confirmed, Rejected in Text {}

one sig Store { var newest: lone Text }

sig Process {
	-- the text that it acts by
	var inForce: lone Text,
	-- changes that its watch has still to deliver
	var coming: set Text
}

-- Processes whose watch goes on.
var sig Watching in Process {}

fact Initially {
	no Accepted
	no Arrived
	no Confirmed
	no Rejected
	no newest
	no inForce
	no coming
	Watching = Process
}

pred operatorsUnchanged {
	Confirmed' = Confirmed
	Rejected' = Rejected
}

pred storeUnchanged {
	Accepted' = Accepted
	Arrived' = Arrived
	newest' = newest
}

-- A text reaches the store, which accepts it if it was edited from the newest.
pred arrive[t: Text] {
	t = texts/min[Text - Arrived]
	t.base in Accepted
	Arrived' = Arrived + t
	(t.base = Store.newest or ConditionalAccept in Disabled) implies {
		Accepted' = Accepted + t
		newest' = Store -> t
		coming' = coming + Watching -> t
	} else {
		Accepted' = Accepted
		newest' = newest
		coming' = coming
	}
	inForce' = inForce
	Watching' = Watching
	operatorsUnchanged
}

-- The operator is told. After a lost answer the text is read back by its stamp; the mutant
-- takes a lost answer for a rejection.
pred tell[t: Text] {
	t not in Confirmed + Rejected
	t in Accepted implies {
		(Confirmed' = Confirmed + t and Rejected' = Rejected)
			or (ReadBack in Disabled and Rejected' = Rejected + t and Confirmed' = Confirmed)
	} else {
		t in Arrived
		Rejected' = Rejected + t
		Confirmed' = Confirmed
	}
	storeUnchanged
	inForce' = inForce
	coming' = coming
	Watching' = Watching
}

-- What a process does with a text that it is offered.
pred offered[p: Process, t: Text] {
	(OnlyForward in Disabled or no p.inForce or texts/gt[t, p.inForce])
		implies inForce' = inForce - p -> Text + p -> t
		else inForce' = inForce
}

-- The watch delivers a change, perhaps late.
pred deliver[p: Process, t: Text] {
	t in p.coming
	offered[p, t]
	coming' = coming - p -> t
	Watching' = Watching
	storeUnchanged
	operatorsUnchanged
}

-- The watch ends and loses what it had still to deliver.
pred gap[p: Process] {
	p in Watching
	Watching' = Watching - p
	coming' = coming - p -> Text
	inForce' = inForce
	storeUnchanged
	operatorsUnchanged
}

-- The process lists and watches again. The mutant only watches again.
pred relist[p: Process] {
	p not in Watching
	Watching' = Watching + p
	(some Store.newest and RelistAfterGap not in Disabled) implies offered[p, Store.newest] else inForce' = inForce
	coming' = coming
	storeUnchanged
	operatorsUnchanged
}

-- A peer passes on the text that it acts by, perhaps an old one.
pred gossip[p, q: Process] {
	some q.inForce
	offered[p, q.inForce]
	coming' = coming
	Watching' = Watching
	storeUnchanged
	operatorsUnchanged
}

pred stutter {
	inForce' = inForce
	coming' = coming
	Watching' = Watching
	storeUnchanged
	operatorsUnchanged
}

fact Transitions {
	always (
		stutter
		or (some t: Text | arrive[t] or tell[t])
		or (some p: Process, t: Text | deliver[p, t])
		or (some p: Process | gap[p] or relist[p])
		or (some disj p, q: Process | gossip[p, q])
	)
}

-- Properties

pred neverReverts {
	always all p: Process | some p.inForce implies (some p.inForce' and texts/gte[p.inForce', p.inForce])
}

-- No accepted change is lost by another operator's: each accepted text was edited from the
-- one accepted before.
pred noChangeIsLost {
	always (Store.newest' != Store.newest implies Store.newest'.base = Store.newest)
}

pred rejectionIsTrue {
	always no Rejected & Accepted
}

-- Once nothing is submitted any more and the watches hold, the newest text is in force at
-- every process, also without any peer.
pred inForceEverywhere {
	(eventually always (
			(all p: Process | p in Watching and no p.coming)
			and Accepted' = Accepted))
		implies eventually always all p: Process | p.inForce = Store.newest
}

check NeverReverts { no Disabled implies neverReverts }
	for exactly 2 Process, exactly 4 Text, 12 .. 12 steps expect 0

check NoChangeIsLost { no Disabled implies noChangeIsLost }
	for exactly 1 Process, exactly 4 Text, 12 .. 12 steps expect 0

check RejectionIsTrue { no Disabled implies rejectionIsTrue }
	for exactly 1 Process, exactly 4 Text, 12 .. 12 steps expect 0

check InForceEverywhere { no Disabled implies inForceEverywhere }
	for exactly 2 Process, exactly 3 Text, 12 .. 12 steps expect 0

-- Mutants: each lacks one mechanism and must break a property.

check MutantUnconditionalAccept { Disabled = ConditionalAccept implies noChangeIsLost }
	for exactly 1 Process, exactly 3 Text, 8 .. 8 steps expect 1

check MutantOlderTextOfAPeerTaken { Disabled = OnlyForward implies neverReverts }
	for exactly 2 Process, exactly 2 Text, 8 .. 8 steps expect 1

check MutantNoRelistAfterGap { Disabled = RelistAfterGap implies inForceEverywhere }
	for exactly 1 Process, exactly 2 Text, 8 .. 8 steps expect 1

check MutantNoReadBack { Disabled = ReadBack implies rejectionIsTrue }
	for exactly 1 Process, exactly 1 Text, 8 .. 8 steps expect 1

-- Non-vacuity: the traces that the properties are about exist.

-- Two operators race; one is told to merge. A process whose watch lost the change hears of
-- it from a peer, and an older text that arrives later changes nothing.
run RaceGapAndStalePeer {
	no Disabled
	some disj p, q: Process {
		eventually some Rejected
		eventually (gossip[p, q] and inForce' != inForce)
		eventually (gossip[p, q] and texts/lt[q.inForce, p.inForce])
	}
} for exactly 2 Process, exactly 3 Text, 12 .. 12 steps expect 1
