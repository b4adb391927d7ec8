package org.ragworthook.daemon.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.vertx.core.Vertx;
import org.ragworthook.core.log.EventLog;

/**
 * Tells a crash of the upstream from an answer that merely broke off.
 * <p>
 * A crash breaks every call at once, but the ends of the calls come one by one. Judged
 * one by one, a request that was beside the culprit could look as if it had been alone.
 * So the first broken call opens a short window in which further ones are gathered, and
 * at its end the upstream is asked whether it is there. It has crashed if it is not, or
 * if several calls were in flight and all of them broke.
 */
final class CrashWatch {

	private static final EventLog LOG = EventLog.of(CrashWatch.class);

	private static final long WINDOW_MILLIS = 20;

	private final Vertx vertx;

	private final UpstreamHealth health;

	private final IntSupplier inFlight;

	private final List<Consumer<Verdict>> waiting = new ArrayList<>();

	private int together;

	private int crashes;

	CrashWatch(Vertx vertx, UpstreamHealth health, IntSupplier inFlight) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.health = Objects.requireNonNull(health, "health is null");
		this.inFlight = Objects.requireNonNull(inFlight, "inFlight is null");
	}

	/**
	 * Learns that a call broke.
	 * @param then takes the verdict, within about half a second
	 */
	void broken(Consumer<Verdict> then) {
		this.waiting.add(Objects.requireNonNull(then, "then is null"));
		if (this.waiting.size() == 1) {
			this.together = this.inFlight.getAsInt();
			this.vertx.setTimer(WINDOW_MILLIS, (ignored) -> probe());
		}
	}

	private void probe() {
		this.health.probe().onComplete((answer) -> judge(answer.failed()));
	}

	private void judge(boolean gone) {
		List<Consumer<Verdict>> judged = List.copyOf(this.waiting);
		this.waiting.clear();
		boolean allBroke = judged.size() > 1 && judged.size() >= this.together;
		boolean crashed = gone || allBroke;
		if (crashed) {
			this.crashes++;
			this.health.lost();
			LOG.warning("upstream_crashed", "in_flight", this.together, "crashes", this.crashes);
		}
		Verdict verdict = new Verdict(crashed, Math.max(this.together, judged.size()));
		judged.forEach((then) -> then.accept(verdict));
	}

	/**
	 * Returns how often the upstream has crashed since the sidecar started.
	 * @return a count
	 */
	int crashes() {
		return this.crashes;
	}

	/**
	 * What became of the upstream.
	 *
	 * @param crashed whether it crashed
	 * @param inFlight how many requests it had when the first call broke
	 */
	record Verdict(boolean crashed, int inFlight) {
	}

}
