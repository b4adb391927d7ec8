package org.ragworthook.daemon.sidecar;

import java.util.Objects;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.daemon.engine.UpstreamClient;

/**
 * Knows whether the upstream answers at all.
 * <p>
 * An engine that has crashed refuses connections until it is up again, and refuses them
 * quickly: it has nothing outstanding and would look like the best choice. One would
 * notice requests that used up their attempts on engines that are down. So from the first
 * call that could not be passed on the upstream counts as away, which its load tells the
 * entries, and it is asked until it answers.
 */
final class UpstreamHealth {

	private static final EventLog LOG = EventLog.of(UpstreamHealth.class);

	private static final long PROBE_MILLIS = 500;

	private static final long AGAIN_MILLIS = 100;

	private static final String PROBE_PATH = "/health";

	private final Vertx vertx;

	private final UpstreamClient upstream;

	private final Runnable changed;

	private boolean away;

	UpstreamHealth(Vertx vertx, UpstreamClient upstream, Runnable changed) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.upstream = Objects.requireNonNull(upstream, "upstream is null");
		this.changed = Objects.requireNonNull(changed, "changed is null");
	}

	/**
	 * Asks the upstream whether it is there. Any answer counts, whatever its status. Its
	 * body, which may have no end, is not read.
	 * @return fails if there was no answer in half a second
	 */
	Future<?> probe() {
		return this.upstream.http()
			.request(this.upstream.options(HttpMethod.GET, PROBE_PATH)
				.setConnectTimeout(PROBE_MILLIS)
				.setIdleTimeout(PROBE_MILLIS))
			.compose((request) -> request.send().onSuccess((response) -> request.reset()));
	}

	/**
	 * Learns that a call could not be passed on, or that the upstream crashed.
	 */
	void lost() {
		if (!this.away) {
			this.away = true;
			LOG.warning("upstream_away");
			this.changed.run();
			ask();
		}
	}

	private void ask() {
		probe().onComplete((answer) -> {
			if (answer.succeeded()) {
				this.away = false;
				LOG.info("upstream_back");
				this.changed.run();
			}
			else {
				this.vertx.setTimer(AGAIN_MILLIS, (ignored) -> ask());
			}
		});
	}

	/**
	 * Tells whether requests can be passed on, as far as it is known.
	 * @return false from a call that failed until the upstream has answered again
	 */
	boolean reachable() {
		return !this.away;
	}

}
