package org.ragworthook.cli.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;

import org.ragworthook.cli.entry.CliException;
import org.ragworthook.cli.entry.EntryClient;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Printer;
import org.ragworthook.cli.output.Progress;

/**
 * What a command works with: the entry, where to print, and whether there is a terminal.
 */
public final class Session implements AutoCloseable {

	private final Supplier<EntryClient> connect;

	private final Printer printer;

	private final PrintStream out;

	private final PrintStream errors;

	private final boolean terminal;

	private EntryClient client;

	/**
	 * Creates a session.
	 * @param connect makes the client when a command first needs one
	 * @param printer prints reports
	 * @param out where results go
	 * @param errors where progress and warnings go
	 * @param terminal whether {@code errors} is a terminal
	 */
	public Session(Supplier<EntryClient> connect, Printer printer, PrintStream out, PrintStream errors,
			boolean terminal) {
		this.connect = Objects.requireNonNull(connect, "connect is null");
		this.printer = Objects.requireNonNull(printer, "printer is null");
		this.out = Objects.requireNonNull(out, "out is null");
		this.errors = Objects.requireNonNull(errors, "errors is null");
		this.terminal = terminal;
	}

	EntryClient entry() {
		if (this.client == null) {
			this.client = this.connect.get();
		}
		return this.client;
	}

	/**
	 * Returns what prints reports.
	 * @return the printer for the format that was asked for
	 */
	public Printer printer() {
		return this.printer;
	}

	PrintStream out() {
		return this.out;
	}

	PrintStream errors() {
		return this.errors;
	}

	Progress progress() {
		return Progress.of(this.errors, this.terminal);
	}

	static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new CliException(ExitCode.USAGE,
					file + " cannot be read; check that it exists and that this user may read it");
		}
	}

	static void write(Path file, byte[] content) {
		try {
			Files.write(file, content);
		}
		catch (IOException ex) {
			throw new CliException(ExitCode.USAGE,
					file + " cannot be written; check that its folder exists and that this user may write there");
		}
	}

	static String encode(String value) {
		return URLEncoder.encode(value, StandardCharsets.UTF_8);
	}

	static void pause(Duration time) {
		try {
			Thread.sleep(time.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CliException(ExitCode.TIMEOUT, "interrupted while waiting");
		}
	}

	@Override
	public void close() {
		if (this.client != null) {
			this.client.close();
		}
	}

}
