package org.ragworthook.core.job;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

import org.ragworthook.core.log.EventLog;

/**
 * Runs tasks one after another, in the threads of those who hand them in. A task that is
 * handed in while another runs waits for it without holding up its thread.
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

	// Were an error let through, the tasks behind would never run and the shard would
	// stand
	// still; it goes to the thread's handler instead.
	private static void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			LOG.warning("internal_error", "error", ex);
		}
	}

}
