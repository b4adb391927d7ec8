package org.ragworthook.core.example;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import javax.tools.ToolProvider;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * The example of embedding compiles against the core and prints what its page says.
 */
class EmbeddingTests {

	private static final Path EXAMPLE = Path.of("../../examples/embedding/TwoHolders.java");

	@TempDir
	private Path classes;

	@Test
	void shouldRunAsItStandsInTheExamples() throws Exception {
		int compiled = ToolProvider.getSystemJavaCompiler()
			.run(null, null, null, "-d", this.classes.toString(), "-cp", System.getProperty("java.class.path"),
					EXAMPLE.toString());
		assertThat(compiled).isEqualTo(0);
		assertThat(output()).isEqualTo("""
				first takes:  epoch 1
				second takes: no
				first, paused for a period, holds: false
				second takes: epoch 2
				first's late write took effect: false
				the record: rewritten by epoch 2
				""");
	}

	private String output() throws Exception {
		PrintStream before = System.out;
		ByteArrayOutputStream captured = new ByteArrayOutputStream();
		try (URLClassLoader loader = new URLClassLoader(new URL[] { this.classes.toUri().toURL() })) {
			System.setOut(new PrintStream(captured, true, StandardCharsets.UTF_8));
			loader.loadClass("TwoHolders").getMethod("main", String[].class).invoke(null, (Object) new String[0]);
		}
		finally {
			System.setOut(before);
		}
		return captured.toString(StandardCharsets.UTF_8);
	}

}
