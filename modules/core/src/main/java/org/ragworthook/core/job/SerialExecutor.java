package org.ragworthook.core.job;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

import org.ragworthook.core.log.EventLog;

/**
 * Runs tasks one after another on the threads that submit them. A task that is submitted
 * while another one runs is queued, without blocking the submitting thread.
 */
public final class SerialExecutor implements Executor {

	private static final EventLog LOG = EventLog.of(SerialExecutor.class);

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	private final AtomicInteger waiting = new AtomicInteger();

	@Override
	public void execute(Runnable task) {
		this.tasks.add(task);
		if (this.waiting.getAndIncrement() != 0) {
			return;
		}
		do {
			run(this.tasks.poll());
		}
		while (this.waiting.decrementAndGet() != 0);
	}

	// An exception that escaped would leave the queued tasks unrun and stop the shard,
	// so exceptions are logged.
	private static void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			LOG.warning("internal_error", "error", ex);
		}
	}

}
