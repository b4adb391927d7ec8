package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import com.google.protobuf.ByteString;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.claim.ClaimAnswer;
import org.ragworthook.core.claim.ClaimKey;
import org.ragworthook.core.claim.ClaimLog;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.RagworthookException;
import org.ragworthook.core.error.RequestException;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.daemon.peer.PeerLinks;

/**
 * Records idempotency keys with the owner of their shard, which may be this entry or
 * another. Who the owner is is read from its lease and is only a hint: should two entries
 * believe it of themselves, the log of claims lets one of them write.
 */
final class ClaimDesk implements RequestClaims {

	private static final String VERB = "claim";

	private static final Duration PATIENCE = Duration.ofSeconds(3);

	private final ObjectStore store;

	private final PeerLinks peers;

	private final Stamps stamps;

	private final String instance;

	private final int shards;

	private final Map<Lease, CompletableFuture<ClaimLog>> logs = new ConcurrentHashMap<>();

	private ClaimDesk(ObjectStore store, PeerLinks peers, String instance, int shards) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.peers = Objects.requireNonNull(peers, "peers is null");
		this.instance = Objects.requireNonNull(instance, "instance is null");
		this.stamps = Stamps.of(instance);
		this.shards = shards;
	}

	/**
	 * Starts to take claims, this entry's and those that other entries send to it.
	 * @param store where claims are recorded
	 * @param peers the links to the other entries
	 * @param instance this run of the entry
	 * @param shards over how many shards claims are spread
	 * @return the claims
	 */
	static ClaimDesk start(ObjectStore store, PeerLinks peers, String instance, int shards) {
		ClaimDesk desk = new ClaimDesk(store, peers, instance, shards);
		peers.handle(VERB, (peer, body) -> desk.asked(new JsonObject(body.toStringUtf8())));
		return desk;
	}

	@Override
	public CompletionStage<Void> claim(OnlineRequest request) {
		ClaimKey key = ClaimKey.of(request.account().name(), request.run().getIdempotencyKey());
		String fingerprint = request.run().getFingerprint();
		return lease(key).thenCompose((lease) -> lease.holder().equals(this.instance) ? record(lease, key, fingerprint)
				: ask(lease.holder(), key, fingerprint))
			.handle((done, failure) -> {
				if (failure != null) {
					throw refusal(failure);
				}
				return null;
			});
	}

	private CompletableFuture<Lease> lease(ClaimKey key) {
		String name = "batch-" + key.shard(this.shards);
		return this.store.read(Lease.key(name))
			.thenApply((found) -> found.map((stored) -> Lease.parse(name, stored.text()))
				.filter((lease) -> !lease.released())
				.orElseThrow(() -> new RequestException(ErrorCode.REQUEST_NOT_RUN_NO_RECORD,
						"the shard of the idempotency key has no owner")));
	}

	private CompletableFuture<Void> ask(String owner, ClaimKey key, String fingerprint) {
		JsonObject body = new JsonObject().put("key", key.hex()).put("fingerprint", fingerprint);
		return this.peers.call(owner, VERB, ByteString.copyFromUtf8(body.encode()), PATIENCE)
			.thenApply((granted) -> null);
	}

	// -- the owner's side

	private CompletableFuture<ByteString> asked(JsonObject body) {
		ClaimKey key = new ClaimKey(body.getString("key"));
		return lease(key).thenCompose((lease) -> record(lease, key, body.getString("fingerprint")))
			.thenApply((granted) -> ByteString.EMPTY);
	}

	private CompletableFuture<Void> record(Lease lease, ClaimKey key, String fingerprint) {
		if (!lease.holder().equals(this.instance)) {
			return CompletableFuture.failedFuture(
					new RequestException(ErrorCode.REQUEST_NOT_RUN_NO_RECORD, "the shard's owner has changed"));
		}
		CompletableFuture<ClaimLog> log = this.logs.computeIfAbsent(lease, (owned) -> ClaimLog.open(this.store,
				this.stamps, InstantSource.system(), key.shard(this.shards), owned));
		log.whenComplete((opened, failure) -> {
			if (failure != null) {
				this.logs.remove(lease, log);
			}
		});
		return log.thenCompose((opened) -> opened.claim(key, fingerprint)).thenAccept(ClaimDesk::granted);
	}

	private static void granted(Optional<ClaimAnswer> answer) {
		if (answer.isPresent()) {
			throw new RequestException(ErrorCode.REQUEST_KEY_TAKEN, "the request has been answered");
		}
	}

	// Whatever went wrong, this entry does not pass the request on, so that "not run" is
	// true of it unless the key was taken before.
	private static RequestException refusal(Throwable failure) {
		Throwable cause = Failures.root(failure);
		if (cause instanceof RagworthookException known
				&& (known.code() == ErrorCode.REQUEST_KEY_TAKEN || known.code() == ErrorCode.REQUEST_KEY_REUSED)) {
			return new RequestException(known.code(), known.detail());
		}
		return new RequestException(ErrorCode.REQUEST_NOT_RUN_NO_RECORD,
				"the idempotency key could not be recorded: " + cause.getMessage(), cause);
	}

}
