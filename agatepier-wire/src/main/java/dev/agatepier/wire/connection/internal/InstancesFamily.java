package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.KnownRouters;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.VersionMessage.InstancesRequest;
import dev.agatepier.core.connection.VersionMessage.InstancesTransfer;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.Upstream;
import java.util.List;

/** Messages that carry the platform's instance list from peer to peer. */
public final class InstancesFamily implements MessageFamily {

  @Override
  public List<MessageType<?>> types() {
    return List.of(
        new MessageType<>(
            50,
            InstancesRequest.class,
            1,
            (message, output) -> output.number(message.knownVersion()),
            input -> new InstancesRequest(input.number())),
        new MessageType<>(
            51,
            InstancesTransfer.class,
            3,
            (message, output) -> {
              output.number(message.version());
              output.list(message.instances(), InstancesFamily::writeInstance);
              output.list(message.upstreams(), InstancesFamily::writeUpstream);
            },
            input ->
                new InstancesTransfer(
                    input.number(),
                    input.list(InstancesFamily::readInstance),
                    input.list(InstancesFamily::readUpstream))),
        new MessageType<>(
            52,
            KnownRouters.class,
            1,
            (message, output) -> output.list(message.routers(), InstancesFamily::writeInstance),
            input -> new KnownRouters(input.list(InstancesFamily::readInstance))));
  }

  private static void writeUpstream(FieldOutput output, Upstream upstream) {
    output.text(upstream.name());
    output.number(upstream.incarnation());
    output.text(upstream.service());
    output.text(upstream.address());
    output.integer(upstream.port());
    output.text(upstream.dataCentre());
    output.integer(upstream.slots());
    output.flag(upstream.leaving());
  }

  private static Upstream readUpstream(FieldInput input) {
    return new Upstream(
        input.text(),
        input.number(),
        input.text(),
        input.text(),
        input.integer(),
        input.text(),
        input.integer(),
        input.flag());
  }

  private static void writeInstance(FieldOutput output, Instance instance) {
    output.text(instance.name());
    output.text(instance.role().name());
    output.text(instance.address());
    output.integer(instance.port());
    output.integer(instance.administrationPort());
    output.text(instance.dataCentre());
    output.text(instance.region());
    output.text(instance.service());
    output.flag(instance.leaving());
  }

  private static Instance readInstance(FieldInput input) {
    return new Instance(
        input.text(),
        Role.valueOf(input.text()),
        input.text(),
        input.integer(),
        input.integer(),
        input.text(),
        input.text(),
        input.text(),
        input.flag());
  }
}
