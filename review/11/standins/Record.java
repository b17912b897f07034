import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run. */
final class Record implements AutoCloseable {

  private final PrintWriter writer;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String format, Object... arguments) {
    writer.printf(Locale.ROOT, "%7.3f ", seconds());
    writer.printf(Locale.ROOT, format + "%n", arguments);
  }

  @Override
  public void close() {
    writer.close();
  }
}
