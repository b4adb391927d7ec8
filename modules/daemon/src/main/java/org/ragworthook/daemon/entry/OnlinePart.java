package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import org.ragworthook.core.quarantine.CrashRecord;
import org.ragworthook.core.quarantine.Quarantine;
import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.daemon.http.Metrics;

/**
 * Serves the online requests of an entry.
 */
public final class OnlinePart implements AutoCloseable {

	private static final long SWEEP_INTERVAL_MILLIS = 50;

	private static final Duration SUSPECT_DURATION = Duration.ofMinutes(2);

	private static final Duration QUARANTINE_DURATION = Duration.ofMinutes(10);

	private static final int MAX_CRASH_RECORDS = 10_000;

	private final Vertx vertx;

	private final Quarantine quarantine = Quarantine.of(InstantSource.system(), SUSPECT_DURATION, QUARANTINE_DURATION,
			MAX_CRASH_RECORDS);

	private final List<Consumer<CrashRecord>> listeners = new CopyOnWriteArrayList<>();

	private final OnlineResources resources;

	private final OnlineRoutes routes;

	private final long timer;

	private OnlinePart(Vertx vertx, UpstreamDirectory directory, RequestReader reader, ErrorResponses errors,
			Metrics metrics, int requestBytes) {
		this.vertx = vertx;
		this.resources = new OnlineResources(directory, this.quarantine,
				(crashRecord) -> this.listeners.forEach((listener) -> listener.accept(crashRecord)), errors, metrics);
		this.routes = new OnlineRoutes(reader, this.resources, requestBytes);
		this.timer = vertx.setPeriodic(SWEEP_INTERVAL_MILLIS, (ignored) -> this.resources.sweep());
	}

	/**
	 * Starts the online part. It serves requests once its routes are mounted.
	 * @param vertx the Vert.x instance, for timers
	 * @param directory the upstreams that requests are sent to
	 * @param reader reads and checks requests
	 * @param errors writes error responses
	 * @param metrics records latencies
	 * @param requestBytes the maximum size of a request body in bytes
	 * @return the online part
	 */
	public static OnlinePart start(Vertx vertx, UpstreamDirectory directory, RequestReader reader,
			ErrorResponses errors, Metrics metrics, int requestBytes) {
		return new OnlinePart(vertx, directory, reader, errors, metrics, requestBytes);
	}

	/**
	 * Adds the routes of online requests.
	 * @param router the router to add the routes to
	 */
	public void mount(Router router) {
		this.routes.mount(router);
	}

	/**
	 * Returns the quarantine of requests that crash upstreams.
	 * @return the quarantine, which the crash records of other entries are merged into
	 */
	public Quarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Adds a listener for crash records to send to other entries.
	 * @param listener receives each new crash record of this entry, on any thread
	 */
	public void onCrashRecord(Consumer<CrashRecord> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Sets the claims of idempotency keys. Until this is called, every claim is refused.
	 * @param claims the claims
	 */
	void claims(RequestClaims claims) {
		this.resources.claims(claims);
	}

	/**
	 * Has new requests refused as not run. Those in progress go on.
	 */
	public void refuseRequests() {
		this.resources.refuseRequests();
	}

	/**
	 * Answers the requests in progress: those that cannot have run as not run, others as
	 * failed or of unknown outcome. Responses that have begun are broken off.
	 */
	public void endRequests() {
		this.resources.endRequests();
	}

	/**
	 * Waits until no request is in progress.
	 * @return a future that completes when the last request in progress has ended
	 */
	public CompletableFuture<Void> drain() {
		return this.resources.drain();
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number of requests
	 */
	public int inProgress() {
		return this.resources.inProgress();
	}

	@Override
	public void close() {
		this.vertx.cancelTimer(this.timer);
	}

}
