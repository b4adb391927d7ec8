package org.ragworthook.cli.output;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a command found, for people and for programs.
 */
public final class Report {

	private final JsonNode json;

	private final List<String> header;

	private final List<List<String>> rows = new ArrayList<>();

	private Report(JsonNode json, List<String> header) {
		this.json = Objects.requireNonNull(json, "json is null");
		this.header = header;
	}

	/**
	 * Returns a report without rows.
	 * @param json what programs read
	 * @param header the titles of the table's columns
	 * @return a report to which rows are added
	 */
	public static Report of(JsonNode json, String... header) {
		return new Report(json, List.of(header));
	}

	/**
	 * Adds a row to the table.
	 * @param cells as many as there are columns
	 * @return this report
	 */
	public Report row(Object... cells) {
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			row.add(String.valueOf(cell));
		}
		this.rows.add(row);
		return this;
	}

	/**
	 * Returns what programs read.
	 * @return the JSON
	 */
	public JsonNode json() {
		return this.json;
	}

	/**
	 * Returns what people read.
	 * @return lines with aligned columns
	 */
	public String table() {
		int[] widths = new int[this.header.size()];
		measure(widths, this.header);
		this.rows.forEach((row) -> measure(widths, row));
		StringBuilder out = new StringBuilder();
		line(out, widths, this.header);
		this.rows.forEach((row) -> line(out, widths, row));
		return out.toString();
	}

	private static void measure(int[] widths, List<String> cells) {
		for (int column = 0; column < widths.length; column++) {
			widths[column] = Math.max(widths[column], cells.get(column).length());
		}
	}

	private static void line(StringBuilder out, int[] widths, List<String> cells) {
		StringBuilder line = new StringBuilder();
		for (int column = 0; column < widths.length; column++) {
			line.append(cells.get(column)).append(" ".repeat(widths[column] - cells.get(column).length() + 2));
		}
		out.append(line.toString().stripTrailing()).append('\n');
	}

}
