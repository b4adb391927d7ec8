package org.ragworthook.core;

import java.time.Clock;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.ragworthook.core.time.Ticker;

/**
 * What the core must not do, so that others can embed it and tests decide what time it
 * is.
 */
@AnalyzeClasses(packages = "org.ragworthook.core", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTests {

	@ArchTest
	final ArchRule shouldNotKnowTheDaemonOrItsLibraries = ArchRuleDefinition.noClasses()
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.vertx..", "io.netty..", "io.micrometer..", "org.ragworthook.daemon..",
				"org.ragworthook.wire..", "org.ragworthook.objectapi..");

	@ArchTest
	final ArchRule shouldNotUseTheNetworkOrFiles = ArchRuleDefinition.noClasses()
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "java.util.concurrent.locks..")
		.orShould()
		.dependOnClassesThat()
		.haveNameMatching("java\\.io\\.(File|RandomAccessFile|FileInputStream|FileOutputStream|FileReader|FileWriter)");

	/**
	 * The one place that reads the machine's clock is the ticker made to be handed in.
	 */
	@ArchTest
	final ArchRule shouldNotReadClocks = ArchRuleDefinition.noClasses()
		.that()
		.doNotBelongToAnyOf(Ticker.class)
		.should()
		.callMethod(System.class, "nanoTime")
		.orShould()
		.callMethod(System.class, "currentTimeMillis")
		.orShould()
		.callMethod(java.time.Instant.class, "now")
		.orShould()
		.dependOnClassesThat()
		.areAssignableTo(Clock.class);

	@ArchTest
	final ArchRule shouldNotStartThreadsOrWait = ArchRuleDefinition.noClasses()
		.should()
		.dependOnClassesThat()
		.areAssignableTo(Thread.class)
		.orShould()
		.dependOnClassesThat()
		.haveNameMatching(
				"java\\.util\\.concurrent\\.(Executors.*|Executor[A-Z].*|ForkJoin.*|.+Executor|CountDownLatch|.*Blocking.*)")
		.orShould()
		.dependOnClassesThat()
		.haveNameMatching("java\\.util\\.Timer(Task)?");

	@ArchTest
	final ArchRule shouldHaveNoPackageCycles = SlicesRuleDefinition.slices()
		.matching("org.ragworthook.core.(*)..")
		.should()
		.beFreeOfCycles();

}
