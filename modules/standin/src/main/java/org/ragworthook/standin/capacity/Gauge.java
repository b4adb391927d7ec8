package org.ragworthook.standin.capacity;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;

import com.sun.management.OperatingSystemMXBean;

/**
 * Reads memory and processor time of this process.
 */
final class Gauge {

	private static final int COLLECTIONS = 3;

	private static final int WARM_UP = 10;

	private static final int ROUNDS = 9;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double BYTES_PER_KB = 1024;

	private static volatile Object kept;

	private Gauge() {
	}

	/**
	 * Measures the heap that a structure keeps, as what comes free when it is dropped.
	 * @param maker makes the structure
	 * @return the size in KB
	 */
	static double heapKb(Supplier<?> maker) {
		kept = maker.get();
		long with = used();
		kept = null;
		return (with - used()) / BYTES_PER_KB;
	}

	/**
	 * Returns the heap in use after collections.
	 * @return the size in KB
	 */
	static double usedKb() {
		return used() / BYTES_PER_KB;
	}

	private static long used() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	/**
	 * Measures the processor time of a step: the median of several rounds after some to
	 * warm up.
	 * @param step what to measure, on this thread
	 * @return milliseconds of this thread
	 */
	static double cpuMillis(Runnable step) {
		for (int i = 0; i < WARM_UP; i++) {
			step.run();
		}
		double[] rounds = new double[ROUNDS];
		for (int i = 0; i < ROUNDS; i++) {
			long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
			step.run();
			rounds[i] = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before) / NANOS_PER_MILLI;
		}
		Arrays.sort(rounds);
		return rounds[ROUNDS / 2];
	}

	/**
	 * Returns the processor time of the whole process so far.
	 * @return milliseconds over all threads
	 */
	static double processCpuMillis() {
		OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		return system.getProcessCpuTime() / NANOS_PER_MILLI;
	}

}
