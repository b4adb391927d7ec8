package org.ragworthook.standin.demo;

/**
 * How long and how much a demonstration runs.
 *
 * @param seconds how long online load is sent; 0 for none
 * @param hold whether the processes are kept up afterwards
 * @param rate online calls a second
 * @param items items of each batch job
 * @param waitSeconds how long to wait for a job's end
 * @param seed makes the load repeatable
 */
public record DemoOptions(int seconds, boolean hold, double rate, int items, int waitSeconds, long seed) {
}
