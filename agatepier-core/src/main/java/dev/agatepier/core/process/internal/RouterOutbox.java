package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.process.RouterEffect;
import java.util.ArrayList;
import java.util.List;

/** Collects the effects of one event, in order. */
public final class RouterOutbox {

  private List<RouterEffect> effects = new ArrayList<>();

  /** Appends an effect. */
  public void add(RouterEffect effect) {
    effects.add(effect);
  }

  /** Adds the effect that sends a message to an instance. */
  public void send(String instance, LinkMessage message) {
    effects.add(new RouterEffect.Send(instance, message));
  }

  /** Returns and clears the collected effects. */
  public List<RouterEffect> take() {
    List<RouterEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }
}
