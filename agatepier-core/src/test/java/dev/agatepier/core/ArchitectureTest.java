package dev.agatepier.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

public class ArchitectureTest {

  private final JavaClasses core =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("dev.agatepier.core");

  @Test
  public void decisionsDoNotDependOnEncodingOrSockets() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..", "reactor.netty..", "com.fasterxml..", "org.msgpack..", "java.net..")
        .check(core);
  }

  @Test
  public void decisionsDoNotReadClocksOrRandomSources() {
    noClasses().should().callMethod(System.class, "nanoTime").check(core);
    noClasses().should().callMethod(System.class, "currentTimeMillis").check(core);
    noClasses().should().callMethod(Math.class, "random").check(core);
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.security.SecureRandom")
        .check(core);
  }

  @Test
  public void everyClassIsInThePackageOfItsLifeSpan() {
    classes()
        .should()
        .resideInAnyPackage(
            "dev.agatepier.core.request..",
            "dev.agatepier.core.connection..",
            "dev.agatepier.core.version..",
            "dev.agatepier.core.process..")
        .check(core);
  }

  @Test
  public void requestClassesDoNotDependOnLongerLivedPackages() {
    noClasses()
        .that()
        .resideInAPackage("dev.agatepier.core.request..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("dev.agatepier.core.connection..", "dev.agatepier.core.process..")
        .check(core);
  }
}
