package dev.agatepier.wire;

import dev.agatepier.core.request.RequestId;
import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.message.StringMapMessage;

/** Records the messages of one class's logger instead of writing them. */
public final class RecordedLog extends AbstractAppender implements AutoCloseable {

  private final List<StringMapMessage> messages = new ArrayList<>();
  private final Logger logger;
  private final Level levelBefore;

  /** Starts to record. */
  public RecordedLog(Class<?> source) {
    super("recorded", null, null, false, Property.EMPTY_ARRAY);
    logger = (Logger) LogManager.getLogger(source);
    levelBefore = logger.getLevel();
    start();
    logger.addAppender(this);
    logger.setAdditive(false);
    logger.setLevel(Level.INFO);
  }

  @Override
  public synchronized void append(LogEvent event) {
    messages.add((StringMapMessage) event.getMessage());
  }

  /** Returns the fields of a request's messages with an event code, in order. */
  public synchronized List<String> of(String event, RequestId request) {
    return messages.stream()
        .filter(message -> event.equals(message.get("event")))
        .filter(message -> request.toString().equals(message.get("request")))
        .map(StringMapMessage::asString)
        .toList();
  }

  @Override
  public void close() {
    logger.setLevel(levelBefore);
    logger.setAdditive(true);
    logger.removeAppender(this);
    stop();
  }
}
