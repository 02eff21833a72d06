/** A resource that must be released. */
export interface Disposable {
  dispose(): void | Promise<void>;
}
