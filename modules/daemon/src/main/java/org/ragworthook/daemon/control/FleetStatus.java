package org.ragworthook.daemon.control;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.core.reconcile.StepFailure;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.wire.message.PeerState;
import org.ragworthook.wire.message.ProcessVersion;

/**
 * Which process acts by which version. Asked for by an operator, an entry asks its peers
 * in turn; nothing is sent for it while nobody asks.
 */
public final class FleetStatus {

	private static final String VERB = "status";

	private static final String FAILURES = "failures";

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final PeerLinks peers;

	private final Supplier<List<ProcessVersion>> own;

	private final Supplier<List<StepFailure>> ownFailures;

	// The highest version that each process has reported. A peer that does not answer in
	// time knows of sidecars that this entry hears late; left out, it would look as if
	// they
	// had gone back to an older version.
	private final Map<String, ProcessVersion> known = new ConcurrentHashMap<>();

	FleetStatus(PeerLinks peers, Supplier<List<ProcessVersion>> own, Supplier<List<StepFailure>> ownFailures) {
		this.peers = Objects.requireNonNull(peers, "peers is null");
		this.own = Objects.requireNonNull(own, "own is null");
		this.ownFailures = Objects.requireNonNull(ownFailures, "ownFailures is null");
		peers.handle(FAILURES,
				(instance, body) -> CompletableFuture.completedFuture(ByteString.copyFromUtf8(ownFailures().encode())));
		peers.handle(VERB, (instance, body) -> CompletableFuture
			.completedFuture(PeerState.newBuilder().addAllProcesses(own.get()).build().toByteString()));
	}

	/**
	 * Asks all peers.
	 * @return the processes by name, each with the highest version that anybody knows of;
	 * a peer that does not answer in a second is listed with what it last said
	 */
	CompletableFuture<Collection<ProcessVersion>> processes() {
		List<CompletableFuture<List<ProcessVersion>>> answers = this.peers.peers().stream().map(this::ask).toList();
		return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).thenApply((done) -> {
			Map<String, ProcessVersion> merged = new TreeMap<>();
			this.own.get().forEach((process) -> merge(merged, process));
			answers.forEach((answer) -> answer.join().forEach((process) -> merge(merged, process)));
			this.known.keySet().retainAll(merged.keySet());
			merged.forEach((instance, process) -> this.known.merge(instance, process, FleetStatus::higher));
			merged.replaceAll((instance, process) -> this.known.getOrDefault(instance, process));
			return merged.values();
		});
	}

	/**
	 * Asks all peers which steps fail again and again; the one that leads knows.
	 * @return the failures as operators see them
	 */
	CompletableFuture<JsonArray> failures() {
		List<CompletableFuture<JsonArray>> answers = this.peers.peers()
			.stream()
			.map((peer) -> this.peers.call(peer, FAILURES, ByteString.EMPTY, TIMEOUT)
				.thenApply((body) -> new JsonArray(body.toStringUtf8()))
				.exceptionally((failure) -> new JsonArray()))
			.toList();
		return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).thenApply((done) -> {
			JsonArray all = ownFailures();
			answers.forEach((answer) -> all.addAll(answer.join()));
			return all;
		});
	}

	private JsonArray ownFailures() {
		JsonArray failures = new JsonArray();
		long now = Ticker.system().nanos();
		this.ownFailures.get()
			.forEach((failure) -> failures.add(new JsonObject().put("upstream", failure.upstream())
				.put("subject", failure.subject())
				.put("failures", failure.count())
				.put("detail", failure.detail())
				.put("retrySeconds", Math.max(0, TimeUnit.NANOSECONDS.toSeconds(failure.retryNanos() - now)))));
		return failures;
	}

	private static void merge(Map<String, ProcessVersion> merged, ProcessVersion process) {
		merged.merge(process.getInstance(), process, FleetStatus::higher);
	}

	private static ProcessVersion higher(ProcessVersion left, ProcessVersion right) {
		return (left.getVersion() >= right.getVersion()) ? left : right;
	}

	private CompletableFuture<List<ProcessVersion>> ask(String peer) {
		return this.peers.call(peer, VERB, ByteString.EMPTY, TIMEOUT)
			.thenApply(FleetStatus::parse)
			.exceptionally((failure) -> List.of(silent(peer)));
	}

	private static List<ProcessVersion> parse(ByteString body) {
		try {
			return PeerState.parseFrom(body).getProcessesList();
		}
		catch (InvalidProtocolBufferException ex) {
			throw new LinkException(ErrorCode.LINK_FAILED, "a peer's status cannot be read", ex);
		}
	}

	private static ProcessVersion silent(String peer) {
		return ProcessVersion.newBuilder().setInstance(peer).setRole("entry").build();
	}

}
