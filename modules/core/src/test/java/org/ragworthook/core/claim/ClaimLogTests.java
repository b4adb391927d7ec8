package org.ragworthook.core.claim;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.RequestException;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.store.FaultyObjectStore;
import org.ragworthook.core.store.FaultyObjectStore.Fault;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

class ClaimLogTests {

	private static final ClaimKey KEY = ClaimKey.of("fiestas", "booking-7");

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	private final ManualTime time = ManualTime.of();

	private final InstantSource clock = () -> Instant.ofEpochMilli(this.time.nanos() / 1_000_000);

	private final FaultyObjectStore faulty = FaultyObjectStore.over(this.store);

	private ClaimLog open(FaultyObjectStore connection, String owner, long epoch) {
		Lease lease = new Lease("batch-0", epoch, owner, Duration.ofSeconds(6));
		return ClaimLog.open(connection, Stamps.of(owner), this.clock, 0, lease).join();
	}

	private static ErrorCode refusal(CompletableFuture<?> claim) {
		Throwable failure = claim.handle((value, thrown) -> thrown).join();
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return ((RequestException) cause).code();
	}

	@Test
	void shouldGrantKeyOnce() {
		ClaimLog log = open(this.faulty, "a", 1);
		assertThat(log.claim(KEY, "f").join()).isEmpty();
		assertThat(refusal(log.claim(KEY, "f"))).isEqualTo(ErrorCode.REQUEST_KEY_TAKEN);
		assertThat(refusal(log.claim(KEY, "other"))).isEqualTo(ErrorCode.REQUEST_KEY_REUSED);
	}

	@Test
	void shouldReturnCachedAnswerOfFinishedRequest() {
		ClaimLog log = open(this.faulty, "a", 1);
		ClaimAnswer answer = new ClaimAnswer(200, "text/plain", "booked");
		log.claim(KEY, "f").join();
		log.keepAnswer(KEY, answer);
		assertThat(log.claim(KEY, "f").join()).hasValue(answer);
	}

	@Test
	void shouldBatchConcurrentClaimsIntoOneWrite() {
		ClaimLog log = open(this.faulty, "a", 1);
		this.faulty.plan(Fault.DELAYED);
		List<CompletableFuture<Optional<ClaimAnswer>>> claims = new ArrayList<>();
		int before = this.faulty.calls().size();
		for (int request = 0; request < 100; request++) {
			claims.add(log.claim(ClaimKey.of("fiestas", "k" + request), "f"));
		}
		this.faulty.deliver();
		assertThat(claims.stream().allMatch(CompletableFuture::isDone)).isTrue();
		assertThat(this.faulty.calls().size() - before).isEqualTo(2);
	}

	// The owner of a shard is lost after granting a key. The caller resends its
	// request, and the new owner must know that the key was granted.
	@Test
	void shouldRefuseKeysGrantedByEarlierOwner() {
		open(this.faulty, "a", 1).claim(KEY, "f").join();
		ClaimLog next = open(FaultyObjectStore.over(this.store), "b", 2);
		assertThat(refusal(next.claim(KEY, "f"))).isEqualTo(ErrorCode.REQUEST_KEY_TAKEN);
	}

	// An owner is paused and resumes after another has taken over, with a claim
	// pending. If it granted the claim, both owners could grant the same key.
	@Test
	void shouldGrantNothingAfterBarrierOfNextOwner() {
		ClaimLog deposed = open(this.faulty, "a", 1);
		ClaimLog next = open(FaultyObjectStore.over(this.store), "b", 2);
		assertThat(refusal(deposed.claim(KEY, "f"))).isEqualTo(ErrorCode.REQUEST_NOT_RUN_NO_RECORD);
		assertThat(deposed.closed().join()).isTrue();
		assertThat(next.claim(KEY, "f").join()).isEmpty();
	}

	// The platform records the claim, but the response is lost. The request may run,
	// since the key was granted to no other request.
	@Test
	void shouldGrantAfterLostResponse() {
		ClaimLog log = open(this.faulty, "a", 1);
		this.faulty.plan((call) -> call.writes() ? Fault.ANSWER_LOST : Fault.NONE);
		assertThat(log.claim(KEY, "f").join()).isEmpty();
	}

	// The platform is unavailable. The error states that the request was not run, so it
	// must not be run later either.
	@ParameterizedTest
	@EnumSource(names = { "REFUSED", "REQUEST_LOST", "ANSWER_LOST" })
	void shouldRefuseWhileClaimCannotBeRecorded(Fault fault) {
		ClaimLog log = open(this.faulty, "a", 1);
		this.faulty.plan(fault);
		assertThat(refusal(log.claim(KEY, "f"))).isEqualTo(ErrorCode.REQUEST_NOT_RUN_NO_RECORD);
		this.faulty.plan(Fault.NONE);
		boolean stillOpen = !log.closed().join();
		assertThat(stillOpen).isEqualTo(fault == Fault.REFUSED);
		if (stillOpen) {
			assertThat(log.claim(KEY, "f").join()).isEmpty();
		}
	}

	@Test
	void shouldRemoveOldKeysAndContinueNumbering() {
		ClaimLog log = open(this.faulty, "a", 1);
		log.claim(KEY, "f").join();
		this.time.advance(Duration.ofHours(25));
		log.claim(ClaimKey.of("fiestas", "new"), "f").join();
		log.sweep(Duration.ofHours(24)).join();
		assertThat(log.claim(KEY, "f").join()).isEmpty();
		assertThat(refusal(log.claim(ClaimKey.of("fiestas", "new"), "f"))).isEqualTo(ErrorCode.REQUEST_KEY_TAKEN);
	}

	// Owners take over from each other while writes are delayed or their responses are
	// lost, and the same few keys are claimed repeatedly. No key may be granted twice.
	@Property(tries = 300, seed = "77")
	void shouldNeverGrantKeyTwice(@ForAll long seed) {
		Random random = new Random(seed);
		MemoryObjectStore shared = MemoryObjectStore.empty();
		List<FaultyObjectStore> connections = new ArrayList<>();
		List<CompletableFuture<ClaimLog>> logs = new ArrayList<>();
		int[] grants = new int[4];
		for (int step = 0; step < 40; step++) {
			if (logs.isEmpty() || random.nextInt(6) == 0) {
				FaultyObjectStore connection = FaultyObjectStore.over(shared);
				connections.add(connection);
				Lease lease = new Lease("batch-0", logs.size() + 1, "o" + logs.size(), Duration.ofSeconds(6));
				logs.add(ClaimLog.open(connection, Stamps.of(lease.holder()), this.clock, 0, lease));
			}
			int owner = random.nextInt(logs.size());
			int key = random.nextInt(grants.length);
			Fault fault = List.of(Fault.NONE, Fault.NONE, Fault.ANSWER_LOST, Fault.REQUEST_LOST, Fault.DELAYED)
				.get(random.nextInt(5));
			connections.get(owner).plan((call) -> call.writes() ? fault : Fault.NONE);
			logs.get(owner)
				.thenCompose((log) -> log.claim(ClaimKey.of("x", "k" + key), "f"))
				.thenAccept((answer) -> grants[key]++);
			if (random.nextInt(3) == 0) {
				connections.get(random.nextInt(connections.size())).deliver();
			}
		}
		connections.forEach(FaultyObjectStore::deliver);
		for (int count : grants) {
			assertThat(count).isAtMost(1);
		}
	}

}
