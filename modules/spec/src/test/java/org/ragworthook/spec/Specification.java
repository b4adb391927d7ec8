package org.ragworthook.spec;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import kodkod.engine.satlab.SATFactory;

/**
 * A module of the specification, ready to be checked. Its commands state their own scopes
 * and whether an instance is expected, so that a verdict is the same on every machine.
 */
final class Specification {

	private static final Path DIRECTORY = Path.of("src", "main", "alloy");

	/**
	 * The solvers that the library brings, quickest first. The first two are native code
	 * that not every platform loads; all give the same verdict.
	 */
	private static final List<String> SOLVERS = List.of("glucose", "minisat", "sat4j");

	private final Module module;

	private Specification(Module module) {
		this.module = module;
	}

	/**
	 * Parses a module.
	 * @param name the module's name, without its extension
	 * @return the parsed module
	 */
	static Specification of(String name) {
		Objects.requireNonNull(name, "name is null");
		Path file = DIRECTORY.resolve(name + ".als");
		return new Specification(CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file.toString()));
	}

	/**
	 * Returns the commands of this module.
	 * @return checks and runs, in the order of the text
	 */
	List<Command> commands() {
		return this.module.getAllCommands();
	}

	/**
	 * Searches an instance of a command: a trace of a {@code run}, a counterexample of a
	 * {@code check}.
	 * @param command a command of this module
	 * @return whether there is one within the command's scope
	 */
	boolean satisfiable(Command command) {
		A4Options options = new A4Options();
		options.solver = solver();
		return TranslateAlloyToKodkod
			.execute_command(A4Reporter.NOP, this.module.getAllReachableSigs(), command, options)
			.satisfiable();
	}

	private static SATFactory solver() {
		Stream<SATFactory> present = SOLVERS.stream().map(SATFactory::find).flatMap(Optional::stream);
		return present.filter(SATFactory::isPresent).findFirst().orElseThrow();
	}

}
