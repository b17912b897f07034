package dev.agatepier.wire.connection;

import io.netty.channel.EventLoopGroup;
import reactor.netty.resources.LoopResources;

/** Event loops as on a machine without a native transport. */
final class NioLoopResources implements LoopResources {

  private final LoopResources delegate;

  NioLoopResources(LoopResources delegate) {
    this.delegate = delegate;
  }

  @Override
  public EventLoopGroup onServer(boolean useNative) {
    return delegate.onServer(false);
  }

  @Override
  public EventLoopGroup onServerSelect(boolean useNative) {
    return delegate.onServerSelect(false);
  }

  @Override
  public EventLoopGroup onClient(boolean useNative) {
    return delegate.onClient(false);
  }

  @Override
  public void dispose() {
    delegate.dispose();
  }
}
