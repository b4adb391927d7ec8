package org.ragworthook.daemon.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.Context;
import org.ragworthook.daemon.engine.CallEnd;
import org.ragworthook.daemon.engine.CallListener;
import org.ragworthook.daemon.engine.CallOutput;
import org.ragworthook.daemon.engine.UpstreamClient;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.Cancel;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Load;
import org.ragworthook.wire.message.Run;

/**
 * Takes requests from entries and runs them on the upstream. All state is confined to one
 * context; what comes from links is handed over to it.
 */
final class SidecarRuns implements LinkListener {

	private final Context context;

	private final UpstreamClient upstream;

	private final int limit;

	private final Map<String, ActiveRun> active = new HashMap<>();

	private volatile Load load;

	SidecarRuns(Context context, UpstreamClient upstream, int limit) {
		this.context = Objects.requireNonNull(context, "context is null");
		this.upstream = Objects.requireNonNull(upstream, "upstream is null");
		this.limit = limit;
		this.load = Load.newBuilder().setLimit(limit).build();
	}

	/**
	 * Returns how busy the upstream is.
	 * @return the newest count
	 */
	Load load() {
		return this.load;
	}

	@Override
	public void opened(Link link) {
		// Nothing is due before the first request.
	}

	@Override
	public void received(Link link, Frame frame) {
		switch (frame.getBodyCase()) {
			case RUN -> this.context.runOnContext((ignored) -> accept(link, frame.getRun()));
			case CANCEL -> this.context.runOnContext((ignored) -> cancel(frame.getCancel()));
			default -> {
			}
		}
	}

	/**
	 * The entry that sent the requests of a lost link cannot take their answers any more;
	 * it knows that and sends them again where it may. Running on would take slots from
	 * others.
	 */
	@Override
	public void closed(Link link) {
		this.context.runOnContext((ignored) -> List.copyOf(this.active.values())
			.stream()
			.filter((run) -> run.link() == link)
			.forEach(ActiveRun::cancel));
	}

	private void accept(Link link, Run run) {
		ActiveRun accepted = new ActiveRun(run, link);
		this.active.put(accepted.key(), accepted);
		count();
		accepted.started(this.upstream.start(run, new Answering(accepted)));
	}

	private void cancel(Cancel cancel) {
		List.copyOf(this.active.values()).stream().filter((run) -> matches(run, cancel)).forEach(ActiveRun::cancel);
	}

	private static boolean matches(ActiveRun run, Cancel cancel) {
		return cancel.getJob().isEmpty() ? run.run().getRequest().equals(cancel.getRequest())
				: run.run().getItem().getJob().equals(cancel.getJob());
	}

	private void count() {
		int online = (int) this.active.values().stream().filter(ActiveRun::online).count();
		int batch = this.active.size() - online;
		this.load = Load.newBuilder()
			.setOnlineRunning(online)
			.setBatchRunning(batch)
			.setLimit(this.limit)
			.setBatchRoom(Math.max(0, 2 * this.limit - batch))
			.build();
	}

	/**
	 * Sends the answer of one request back.
	 */
	private final class Answering implements CallListener {

		private final ActiveRun run;

		private Answering(ActiveRun run) {
			this.run = run;
		}

		@Override
		public void output(CallOutput piece) {
			this.run.output(piece);
		}

		@Override
		public void ended(CallEnd end) {
			SidecarRuns.this.active.remove(this.run.key());
			count();
			this.run.done(end, this.run.outcome(end), SidecarRuns.this.load, 0);
		}

	}

}
