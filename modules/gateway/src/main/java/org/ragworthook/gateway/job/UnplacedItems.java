package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * Logs the items that do not run although most slots are free, with what holds them back.
 * Used on the event loop.
 */
final class UnplacedItems {

	private static final EventLog LOG = EventLog.of(UnplacedItems.class);

	/** Time after which an item is logged, and again after each further such time. */
	private static final Duration LOG_INTERVAL = Duration.ofSeconds(2);

	private final UpstreamRegistry upstreams;

	private final Ticker ticker;

	private Map<ItemRun, Long> sinceNanos = Map.of();

	private long updatedNanos;

	/**
	 * Creates a log without items.
	 * @param upstreams the upstreams that take requests
	 * @param ticker the monotonic clock
	 */
	UnplacedItems(UpstreamRegistry upstreams, Ticker ticker) {
		this.upstreams = upstreams;
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.updatedNanos = ticker.nanos();
	}

	/**
	 * Logs the items that have waited for long. Called in each round, after items were
	 * placed.
	 * @param open the items without an outcome
	 * @return the items that were logged
	 */
	List<ItemRun> update(List<ItemRun> open) {
		long now = this.ticker.nanos();
		Map<ItemRun, Long> waiting = new HashMap<>();
		if (mostSlotsFree(this.upstreams.all())) {
			open.stream()
				.filter((run) -> !run.running())
				.forEach((run) -> waiting.put(run, this.sinceNanos.getOrDefault(run, now)));
		}
		List<ItemRun> logged = new ArrayList<>();
		waiting.forEach((run, since) -> {
			if (intervals(now - since) > intervals(this.updatedNanos - since)) {
				logged.add(run);
				LOG.info("item_unplaced", "job", run.job().id(), "item", run.item().id(), "ms",
						(now - since) / 1_000_000, "rests_ms", run.rest(now).toMillis(), "origin",
						run.origin().map(String::valueOf).orElse("none"));
			}
		});
		this.sinceNanos = waiting;
		this.updatedNanos = now;
		return logged;
	}

	private static boolean mostSlotsFree(Collection<TrackedUpstream> upstreams) {
		int slots = upstreams.stream().mapToInt(TrackedUpstream::slots).sum();
		int load = upstreams.stream().mapToInt(TrackedUpstream::load).sum();
		return 2 * load < slots;
	}

	private static long intervals(long nanos) {
		return Math.max(0, nanos) / LOG_INTERVAL.toNanos();
	}

}
