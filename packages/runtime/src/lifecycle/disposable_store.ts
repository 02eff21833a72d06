import type {Disposable} from './disposable.js';

/** Owns disposables and releases them in reverse order. */
export interface DisposableStore extends Disposable {
  add<T extends Disposable>(item: T): T;
  dispose(): Promise<void>;
}

/** Creates an empty store; all items are disposed of even if some fail. */
export function createDisposableStore(
  onError: (err: unknown) => void,
): DisposableStore {
  const items: Disposable[] = [];
  let disposed = false;

  return {
    add: item => {
      if (disposed) throw new Error('store is already disposed');
      items.push(item);
      return item;
    },
    dispose: async () => {
      disposed = true;
      for (const item of items.splice(0).reverse()) {
        try {
          await item.dispose();
        } catch (err) {
          onError(err);
        }
      }
    },
  };
}
