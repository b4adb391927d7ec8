package org.ragworthook.standin.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;

import org.kohsuke.args4j.Option;
import org.ragworthook.standin.keys.TestAuthority;

/**
 * Makes an authority and one certificate, for demonstrations.
 */
public final class KeysCommand implements Subcommand {

	@Option(name = "--out", required = true, usage = "folder for authority.pem, process.pem, process.key",
			metaVar = "DIR")
	private Path out;

	@Option(name = "--address", usage = "IP number that the certificate bears", metaVar = "IP")
	private String address = "127.0.0.1";

	@Option(name = "--days", usage = "how long the certificate is valid", metaVar = "N")
	private int days = 7;

	@Override
	public int run() {
		try {
			Files.createDirectories(this.out);
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot make folder " + this.out + ": " + ex.getMessage(), ex);
		}
		TestAuthority authority = TestAuthority.of("ragworthook demonstration");
		authority.write(this.out.resolve("authority.pem"));
		authority.issue("process", this.address, Instant.now().minus(Duration.ofHours(1)), Duration.ofDays(this.days),
				this.out.resolve("process.pem"), this.out.resolve("process.key"));
		System.out.println("keys=" + this.out.toAbsolutePath());
		return 0;
	}

}
