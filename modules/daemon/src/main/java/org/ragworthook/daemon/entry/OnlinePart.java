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
 * The online requests of an entry.
 */
public final class OnlinePart implements AutoCloseable {

	private static final long SWEEP_MILLIS = 50;

	private static final Duration SUSPICION = Duration.ofMinutes(2);

	private static final Duration QUARANTINE = Duration.ofMinutes(10);

	private static final int REMEMBERED = 10_000;

	private final Vertx vertx;

	private final Quarantine quarantine = Quarantine.of(InstantSource.system(), SUSPICION, QUARANTINE, REMEMBERED);

	private final List<Consumer<CrashRecord>> listeners = new CopyOnWriteArrayList<>();

	private final OnlinePath path;

	private final OnlineRoutes routes;

	private final long timer;

	private OnlinePart(Vertx vertx, UpstreamDirectory directory, RequestReader reader, ErrorResponses errors,
			Metrics metrics, int requestBytes) {
		this.vertx = vertx;
		this.path = new OnlinePath(directory, this.quarantine,
				(conviction) -> this.listeners.forEach((listener) -> listener.accept(conviction)), errors, metrics);
		this.routes = new OnlineRoutes(reader, this.path, requestBytes);
		this.timer = vertx.setPeriodic(SWEEP_MILLIS, (ignored) -> this.path.sweep());
	}

	/**
	 * Starts to take online requests, once mounted.
	 * @param vertx carries timers
	 * @param directory where to send them
	 * @param reader reads and checks them
	 * @param errors answers with errors
	 * @param metrics takes latencies
	 * @param requestBytes the largest body
	 * @return the part
	 */
	public static OnlinePart start(Vertx vertx, UpstreamDirectory directory, RequestReader reader,
			ErrorResponses errors, Metrics metrics, int requestBytes) {
		return new OnlinePart(vertx, directory, reader, errors, metrics, requestBytes);
	}

	/**
	 * Adds the routes of online requests.
	 * @param router where to add them
	 */
	public void mount(Router router) {
		this.routes.mount(router);
	}

	/**
	 * Returns what is known of requests that crash upstreams.
	 * @return the quarantine, to be merged with those of other entries
	 */
	public Quarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Adds a listener for what other entries are to be told of.
	 * @param listener takes what this entry has found out, on any thread
	 */
	public void onConviction(Consumer<CrashRecord> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Sets where requests that may run only once are recorded.
	 * @param claims the record
	 */
	void claims(RequestClaims claims) {
		this.path.claims(claims);
	}

	/**
	 * Waits for the requests in progress.
	 * @return completes when none is left
	 */
	public CompletableFuture<Void> drain() {
		return this.path.drain();
	}

	/**
	 * Returns how many requests are in progress.
	 * @return a count
	 */
	public int inProgress() {
		return this.path.inProgress();
	}

	@Override
	public void close() {
		this.vertx.cancelTimer(this.timer);
	}

}
