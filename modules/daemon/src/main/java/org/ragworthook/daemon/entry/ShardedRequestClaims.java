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
 * Claims idempotency keys at the entry that owns the key's shard, which may be this
 * entry. The owner is read from the shard's lease, which is only a hint: if two entries
 * consider themselves the owner, the claim log lets only one of them write.
 */
final class ShardedRequestClaims implements RequestClaims {

	private static final String VERB = "claim";

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

	private final ObjectStore store;

	private final PeerLinks peers;

	private final Stamps stamps;

	private final String instance;

	private final int shards;

	private final Map<Lease, CompletableFuture<ClaimLog>> logs = new ConcurrentHashMap<>();

	private ShardedRequestClaims(ObjectStore store, PeerLinks peers, String instance, int shards) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.peers = Objects.requireNonNull(peers, "peers is null");
		this.instance = Objects.requireNonNull(instance, "instance is null");
		this.stamps = Stamps.of(instance);
		this.shards = shards;
	}

	/**
	 * Starts to serve claims of this entry and of other entries.
	 * @param store the store that holds the leases and the claim logs
	 * @param peers the links to the other entries
	 * @param instance the unique name of this run of the entry
	 * @param shards the number of shards that keys are spread over
	 * @return the claims
	 */
	static ShardedRequestClaims start(ObjectStore store, PeerLinks peers, String instance, int shards) {
		ShardedRequestClaims claims = new ShardedRequestClaims(store, peers, instance, shards);
		peers.handle(VERB, (peer, body) -> claims.handleCall(new JsonObject(body.toStringUtf8())));
		return claims;
	}

	@Override
	public CompletionStage<Void> claim(OnlineRequest request) {
		ClaimKey key = ClaimKey.of(request.account().name(), request.run().getIdempotencyKey());
		String fingerprint = request.run().getFingerprint();
		return lease(key).thenCompose((lease) -> lease.holder().equals(this.instance) ? record(lease, key, fingerprint)
				: callOwner(lease.holder(), key, fingerprint))
			.handle((done, failure) -> {
				if (failure != null) {
					throw toRequestException(failure);
				}
				return null;
			});
	}

	private CompletableFuture<Lease> lease(ClaimKey key) {
		String name = "batch-" + key.shard(this.shards);
		return this.store.read(Lease.key(name))
			.thenApply((existing) -> existing.map((stored) -> Lease.parse(name, stored.text()))
				.filter((lease) -> !lease.released())
				.orElseThrow(() -> new RequestException(ErrorCode.REQUEST_NOT_RUN_NO_RECORD,
						"the shard of the idempotency key has no owner")));
	}

	private CompletableFuture<Void> callOwner(String owner, ClaimKey key, String fingerprint) {
		JsonObject body = new JsonObject().put("key", key.hex()).put("fingerprint", fingerprint);
		return this.peers.call(owner, VERB, ByteString.copyFromUtf8(body.encode()), CALL_TIMEOUT)
			.thenApply((granted) -> null);
	}

	// -- serving as the owner of a shard

	private CompletableFuture<ByteString> handleCall(JsonObject body) {
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
		return log.thenCompose((opened) -> opened.claim(key, fingerprint))
			.thenAccept(ShardedRequestClaims::requireGranted);
	}

	private static void requireGranted(Optional<ClaimAnswer> answer) {
		if (answer.isPresent()) {
			throw new RequestException(ErrorCode.REQUEST_KEY_TAKEN, "the request has been answered");
		}
	}

	// After any failure this entry does not pass the request on, so "not run" is correct
	// unless the key had been claimed before.
	private static RequestException toRequestException(Throwable failure) {
		Throwable cause = Failures.root(failure);
		if (cause instanceof RagworthookException known
				&& (known.code() == ErrorCode.REQUEST_KEY_TAKEN || known.code() == ErrorCode.REQUEST_KEY_REUSED)) {
			return new RequestException(known.code(), known.detail());
		}
		return new RequestException(ErrorCode.REQUEST_NOT_RUN_NO_RECORD,
				"the idempotency key could not be recorded: " + cause.getMessage(), cause);
	}

}
