package org.ragworthook.daemon;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.RagworthookException;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.daemon.entry.EntryProcess;
import org.ragworthook.daemon.settings.DaemonSettings;
import org.ragworthook.daemon.settings.SettingsReader;
import org.ragworthook.daemon.sidecar.SidecarProcess;

/**
 * The daemon's program. Exit codes: 0 after a graceful stop, 2 for wrong arguments or
 * settings, 3 for an address in use, 1 for anything else.
 */
public final class Ragworthookd {

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_ADDRESS = 3;

	private static final int EXIT_FAILURE = 1;

	@Option(name = "--settings", metaVar = "FILE", usage = "the settings of this process, JSON with comments")
	private Path settings;

	@Option(name = "--help", help = true, usage = "print this help and exit")
	private boolean help;

	@Option(name = "--version", help = true, usage = "print the version and exit")
	private boolean version;

	private Ragworthookd() {
	}

	/**
	 * Runs the daemon until it is told to stop.
	 * @param arguments see {@code --help}
	 */
	public static void main(String[] arguments) {
		int exit = new Ragworthookd().run(arguments, System.out, System.err);
		if (exit != 0) {
			System.exit(exit);
		}
	}

	private int run(String[] arguments, PrintStream out, PrintStream err) {
		CmdLineParser parser = new CmdLineParser(this);
		try {
			parser.parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			err.println("ragworthookd: " + ex.getMessage() + "; see ragworthookd --help");
			return EXIT_USAGE;
		}
		if (this.help) {
			out.println("usage: ragworthookd --settings FILE");
			parser.printUsage(out);
			return 0;
		}
		if (this.version) {
			out.println("ragworthookd " + version());
			return 0;
		}
		return serve(err);
	}

	private int serve(PrintStream err) {
		if (this.settings == null) {
			err.println("ragworthookd: no settings file; give one with --settings FILE");
			return EXIT_USAGE;
		}
		try {
			DaemonSettings checked = SettingsReader.read(this.settings);
			stopOnSignal(start(checked));
			return 0;
		}
		catch (RagworthookException ex) {
			err.println("ragworthookd: " + ex.getMessage());
			return exit(ex.code());
		}
	}

	private static DaemonProcess start(DaemonSettings settings) {
		return (settings.role() == Role.ENTRY) ? EntryProcess.start(settings) : SidecarProcess.start(settings);
	}

	private static int exit(ErrorCode code) {
		if (code == ErrorCode.SETTINGS_ADDRESS_IN_USE) {
			return EXIT_ADDRESS;
		}
		return code.name().startsWith("SETTINGS_") ? EXIT_USAGE : EXIT_FAILURE;
	}

	/**
	 * Stops gracefully on SIGTERM and SIGINT. A Java process that ends by a signal has an
	 * exit code of its own, 143 or 130, and whoever supervises it would take each planned
	 * stop for a crash; so the hook ends the process itself once everything is closed.
	 * @param process what to stop
	 */
	private static void stopOnSignal(DaemonProcess process) {
		CountDownLatch never = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			process.close();
			System.out.flush();
			System.err.flush();
			Runtime.getRuntime().halt(0);
		}, "stop"));
		try {
			never.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String version() {
		String implementation = Ragworthookd.class.getPackage().getImplementationVersion();
		return (implementation != null) ? implementation : "development";
	}

}
