package org.ragworthook.standin.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;

/**
 * What callers of online requests saw, by label. Threads may add records at once.
 */
public final class OnlineReport {

	private static final double[] PERCENTILES = { 50, 95, 99 };

	private static final double NANOS_PER_MILLI = 1e6;

	private final Map<String, Series> byLabel = new TreeMap<>();

	private final List<CallRecord> notWhole = new ArrayList<>();

	private OnlineReport() {
	}

	/**
	 * Returns a report without records.
	 * @return a new report
	 */
	public static OnlineReport empty() {
		return new OnlineReport();
	}

	/**
	 * Adds how a call ended.
	 * @param label the series that it belongs to
	 * @param call how it ended
	 */
	public synchronized void add(String label, CallRecord call) {
		Objects.requireNonNull(label, "label is null");
		this.byLabel.computeIfAbsent(label, (name) -> new Series()).add(call);
		if (call.end() != CallRecord.End.WHOLE) {
			this.notWhole.add(call);
		}
	}

	/**
	 * Returns how many calls ended in one way.
	 * @param end the way
	 * @return calls over all labels
	 */
	public synchronized long count(CallRecord.End end) {
		return this.byLabel.values().stream().mapToLong((series) -> series.count(end)).sum();
	}

	/**
	 * Returns how many calls ended.
	 * @return calls over all labels
	 */
	public synchronized long total() {
		return this.byLabel.values().stream().mapToLong(Series::total).sum();
	}

	/**
	 * Returns how often callers sent a call again because their connection broke.
	 * @return resends over all labels
	 */
	public synchronized long resends() {
		return this.byLabel.values().stream().mapToLong((series) -> series.resends).sum();
	}

	/**
	 * Returns how often the connection of a call broke after the call was sent.
	 * @return broken connections over all labels
	 */
	public synchronized long cutOffs() {
		return this.byLabel.values().stream().mapToLong((series) -> series.cutOffs).sum();
	}

	/**
	 * Returns the calls that did not end with a whole answer.
	 * @return their records
	 */
	public synchronized List<CallRecord> notWhole() {
		return List.copyOf(this.notWhole);
	}

	/**
	 * Returns a percentile of the time to the first token.
	 * @param label the series
	 * @param percentile from 0 to 100
	 * @return milliseconds, or 0 if there is no such series
	 */
	public synchronized double firstTokenMillis(String label, double percentile) {
		Series series = this.byLabel.get(label);
		return (series != null) ? millis(series.firstToken, percentile) : 0;
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
	}

	/**
	 * Returns the report as a table for people.
	 * @return lines of text
	 */
	public synchronized String table() {
		StringBuilder text = new StringBuilder();
		text.append(String.format("%-22s %7s %6s %6s %7s %6s | %26s | %26s%n", "calls", "whole", "wrong", "broken",
				"refused", "resent", "first token ms p50/95/99", "between tokens p50/95/99"));
		this.byLabel.forEach((label,
				series) -> text.append(String.format("%-22s %7d %6d %6d %7d %6d | %26s | %26s%n", label,
						series.count(CallRecord.End.WHOLE), series.count(CallRecord.End.WRONG),
						series.count(CallRecord.End.BROKEN), series.count(CallRecord.End.REFUSED), series.resends,
						percentiles(series.firstToken), percentiles(series.betweenTokens))));
		return text.toString();
	}

	private static String percentiles(Histogram histogram) {
		return String.format("%.1f / %.1f / %.1f", millis(histogram, PERCENTILES[0]), millis(histogram, PERCENTILES[1]),
				millis(histogram, PERCENTILES[2]));
	}

	/**
	 * Returns the report for programs.
	 * @return one object for each label
	 */
	public synchronized JsonObject document() {
		JsonObject document = new JsonObject();
		this.byLabel.forEach((label, series) -> document.put(label, series.document()));
		return document;
	}

	private static final class Series {

		private static final long LONGEST_NANOS = 600_000_000_000L;

		private final Histogram firstToken = new Histogram(LONGEST_NANOS, 3);

		private final Histogram betweenTokens = new Histogram(LONGEST_NANOS, 3);

		private final Map<CallRecord.End, Long> ends = new EnumMap<>(CallRecord.End.class);

		private long resends;

		private long cutOffs;

		private long tokens;

		void add(CallRecord call) {
			this.ends.merge(call.end(), 1L, Long::sum);
			this.resends += call.resends();
			this.cutOffs += call.cutOffs();
			this.tokens += call.tokenNanos().size();
			if (call.end() != CallRecord.End.WHOLE || call.tokenNanos().isEmpty()) {
				return;
			}
			record(this.firstToken, call.tokenNanos().get(0) - call.startNanos());
			for (int i = 1; i < call.tokenNanos().size(); i++) {
				record(this.betweenTokens, call.tokenNanos().get(i) - call.tokenNanos().get(i - 1));
			}
		}

		private static void record(Histogram histogram, long nanos) {
			histogram.recordValue(Math.min(LONGEST_NANOS, Math.max(0, nanos)));
		}

		long count(CallRecord.End end) {
			return this.ends.getOrDefault(end, 0L);
		}

		long total() {
			return this.ends.values().stream().mapToLong(Long::longValue).sum();
		}

		JsonObject document() {
			JsonObject document = new JsonObject().put("tokens", this.tokens).put("resends", this.resends);
			for (CallRecord.End end : CallRecord.End.values()) {
				document.put(end.name().toLowerCase(java.util.Locale.ROOT), count(end));
			}
			return document.put("firstTokenMillis", points(this.firstToken))
				.put("betweenTokensMillis", points(this.betweenTokens));
		}

		private static JsonArray points(Histogram histogram) {
			JsonArray points = new JsonArray();
			for (double percentile : PERCENTILES) {
				points.add(millis(histogram, percentile));
			}
			return points;
		}

	}

}
