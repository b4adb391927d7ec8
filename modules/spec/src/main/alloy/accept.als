/**
 * The acceptance of a batch job and its end.
 *
 * An entry writes the chunks of a job first and the job record last, by a conditional
 * create; only then does it acknowledge the job. The record's name follows from the
 * account and the idempotency key, so a job that is sent again, to any entry, meets the
 * first record. A cancel and the completion are one conditional write on that record.
 * Entries may be lost between any two steps, and the store's answers may be lost.
 */
module accept

-- The mechanisms under test. The commands below switch off one at a time.
enum Mechanism { ChunksFirst, RecordBeforeAck, NameFromKey, ReadBack, ConditionalEnd }

sig Disabled in Mechanism {}

-- The idempotency key of an account.
sig Key {}

-- One submission of a job to an entry.
sig Attempt { key: one Key }

-- A submission whose answer reached the caller and says that the job was accepted.
var sig Acknowledged in Attempt {}

-- A submission whose answer reached the caller and says that nothing was kept.
var sig Refused in Attempt {}

-- A submission whose entry was lost or whose caller was told that the outcome is unknown.
var sig Abandoned in Attempt {}

-- A submission whose chunks are at the store.
var sig Chunked in Attempt {}

-- A submission whose create was sent to the store and may arrive at any time.
var sig Creating in Attempt {}

-- A submission whose create took effect; the job record names its chunks.
var sig Created in Attempt {}

-- A submission whose entry knows that its create took effect, or met another's record.
var sig Settled in Attempt {}

enum State { Completed, Cancelled }

-- How a job record has ended, if it has.
one sig Ends { var state: Attempt -> State }

-- A cancel or a completion that was sent on an open record and may arrive at any time.
var sig Completing, Cancelling in Attempt {}

fun open_: set Attempt { Attempt - Acknowledged - Refused - Abandoned }

fact Initially {
	no Acknowledged
	no Refused
	no Abandoned
	no Chunked
	no Creating
	no Created
	no Settled
	no state
	no Completing
	no Cancelling
}

pred answersUnchanged {
	Acknowledged' = Acknowledged
	Refused' = Refused
	Abandoned' = Abandoned
}

pred storeUnchanged {
	Chunked' = Chunked
	Created' = Created
	state' = state
}

pred writesUnchanged {
	Creating' = Creating
	Settled' = Settled
	Completing' = Completing
	Cancelling' = Cancelling
}

-- The record that stands in a submission's way.
fun rivals[a: Attempt]: set Attempt {
	NameFromKey in Disabled implies a & Created else Created & key.(a.key)
}

pred writeChunks[a: Attempt] {
	a in open_ - Chunked
	Chunked' = Chunked + a
	Created' = Created
	state' = state
	answersUnchanged
	writesUnchanged
}

pred sendCreate[a: Attempt] {
	a in open_ - Creating - Settled
	ChunksFirst in Disabled or a in Chunked
	Creating' = Creating + a
	Settled' = Settled
	Completing' = Completing
	Cancelling' = Cancelling
	storeUnchanged
	answersUnchanged
}

-- The create reaches the store; its answer may be lost.
pred create[a: Attempt] {
	a in Creating
	Creating' = Creating - a
	no rivals[a] implies Created' = Created + a else Created' = Created
	Settled' = Settled or (Settled' = Settled + a and a in open_)
	Chunked' = Chunked
	state' = state
	Completing' = Completing
	Cancelling' = Cancelling
	answersUnchanged
}

-- After a timeout the entry reads the record back: found, whoever wrote it, the job is
-- accepted; not found, the create is sent again.
pred readBack[a: Attempt] {
	a in open_ and a in Chunked
	some rivals[a] implies {
		Settled' = Settled + a
		Creating' = Creating
	} else {
		Settled' = Settled
		Creating' = Creating + a
	}
	Completing' = Completing
	Cancelling' = Cancelling
	storeUnchanged
	answersUnchanged
}

pred acknowledge[a: Attempt] {
	a in open_
	a in Settled or RecordBeforeAck in Disabled
	Acknowledged' = Acknowledged + a
	Refused' = Refused
	Abandoned' = Abandoned
	storeUnchanged
	writesUnchanged
}

-- An entry says that nothing was kept only if no create was sent. The mutant takes a
-- timeout for a failure.
pred refuse[a: Attempt] {
	a in open_ - Settled
	ReadBack in Disabled or a not in Creating + Created
	no rivals[a] or ReadBack in Disabled
	Refused' = Refused + a
	Acknowledged' = Acknowledged
	Abandoned' = Abandoned
	storeUnchanged
	writesUnchanged
}

-- The entry is lost, or gives up and says that the outcome is unknown.
pred abandon[a: Attempt] {
	a in open_
	Abandoned' = Abandoned + a
	Acknowledged' = Acknowledged
	Refused' = Refused
	storeUnchanged
	writesUnchanged
}

-- The end of a job

pred sendEnd[a: Attempt] {
	a in Created
	no a.(Ends.state)
	(Completing' = Completing + a and Cancelling' = Cancelling)
		or (Cancelling' = Cancelling + a and Completing' = Completing)
	Creating' = Creating
	Settled' = Settled
	storeUnchanged
	answersUnchanged
}

pred end[a: Attempt] {
	a in Completing + Cancelling
	some s: State {
		s = Completed implies (a in Completing and Completing' = Completing - a and Cancelling' = Cancelling)
		s = Cancelled implies (a in Cancelling and Cancelling' = Cancelling - a and Completing' = Completing)
		(no a.(Ends.state) or ConditionalEnd in Disabled)
			implies state' = state - Ends -> a -> State + Ends -> a -> s
			else state' = state
	}
	Creating' = Creating
	Settled' = Settled
	Chunked' = Chunked
	Created' = Created
	answersUnchanged
}

pred stutter {
	storeUnchanged
	writesUnchanged
	answersUnchanged
}

fact Transitions {
	always (
		stutter
		or (some a: Attempt | writeChunks[a] or sendCreate[a] or create[a] or readBack[a] or acknowledge[a]
			or refuse[a] or abandon[a] or sendEnd[a] or end[a])
	)
}

-- Properties

-- An acknowledged job has its record and all its chunks, whatever is lost afterwards.
pred acknowledgedIsKept {
	always all a: Acknowledged | some Created & key.(a.key)
}

pred recordHasItsChunks {
	always Created in Chunked
}

pred onceForEachKey {
	always all k: Key | lone Created & key.k
}

-- A caller that was told that nothing was kept finds no job of its submission later.
pred refusalIsTrue {
	always no Refused & Created
}

pred endIsFinal {
	always Ends.state in Ends.state'
	always all a: Attempt | lone a.(Ends.state)
}

check AcknowledgedIsKept { no Disabled implies acknowledgedIsKept }
	for exactly 2 Key, exactly 3 Attempt, 12 .. 12 steps expect 0

check RecordHasItsChunks { no Disabled implies recordHasItsChunks }
	for exactly 2 Key, exactly 3 Attempt, 12 .. 12 steps expect 0

check OnceForEachKey { no Disabled implies onceForEachKey }
	for exactly 2 Key, exactly 3 Attempt, 12 .. 12 steps expect 0

check RefusalIsTrue { no Disabled implies refusalIsTrue }
	for exactly 2 Key, exactly 3 Attempt, 12 .. 12 steps expect 0

check EndIsFinal { no Disabled implies endIsFinal }
	for exactly 1 Key, exactly 2 Attempt, 12 .. 12 steps expect 0

-- Mutants: each lacks one mechanism and must break a property.

check MutantRecordBeforeChunks { Disabled = ChunksFirst implies recordHasItsChunks }
	for exactly 1 Key, exactly 1 Attempt, 8 .. 8 steps expect 1

check MutantAcknowledgementBeforeRecord { Disabled = RecordBeforeAck implies acknowledgedIsKept }
	for exactly 1 Key, exactly 1 Attempt, 8 .. 8 steps expect 1

check MutantNameOfItsOwn { Disabled = NameFromKey implies onceForEachKey }
	for exactly 1 Key, exactly 2 Attempt, 10 .. 10 steps expect 1

check MutantNoReadBack { Disabled = ReadBack implies refusalIsTrue }
	for exactly 1 Key, exactly 1 Attempt, 8 .. 8 steps expect 1

check MutantUnconditionalEnd { Disabled = ConditionalEnd implies endIsFinal }
	for exactly 1 Key, exactly 1 Attempt, 10 .. 10 steps expect 1

-- Non-vacuity: the traces that the properties are about exist.

-- The entry is lost after its create took effect; the job, sent again, is acknowledged and
-- there is one job.
run ResendFindsTheFirst {
	no Disabled
	some disj first, again: Attempt {
		eventually (first in Abandoned and first in Created and again in Acknowledged)
	}
} for exactly 1 Key, exactly 2 Attempt, 10 .. 10 steps expect 1

-- A cancel and a completion race, and the loser has no effect.
run CancelRacesCompletion {
	no Disabled
	some a: Attempt | eventually (a in Completing and Cancelled in a.(Ends.state) and end[a])
} for exactly 1 Key, exactly 1 Attempt, 10 .. 10 steps expect 1
