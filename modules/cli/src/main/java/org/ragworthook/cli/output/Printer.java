package org.ragworthook.cli.output;

import java.io.PrintStream;

/**
 * Prints reports in one of the formats.
 */
@FunctionalInterface
public interface Printer {

	/**
	 * Prints a report.
	 * @param report what to print
	 */
	void print(Report report);

	/**
	 * Returns the printer for a format.
	 * @param format the format
	 * @param out where to print
	 * @return the printer
	 */
	static Printer of(Format format, PrintStream out) {
		return (format == Format.JSON) ? (report) -> out.println(report.json().toPrettyString())
				: (report) -> out.print(report.table());
	}

	/**
	 * The formats.
	 */
	enum Format {

		/** Aligned columns. */
		TABLE,

		/** JSON. */
		JSON

	}

}
