import type {MemberRecord} from '@wisterialadder/core/fleet/member_record.js';
import type {ConfigurationRead} from '@wisterialadder/core/gateway/events/configuration_read.js';
import type {MembersRead} from '@wisterialadder/core/gateway/events/members_read.js';
import type {QuarantineRead} from '@wisterialadder/core/gateway/events/quarantine_read.js';
import type {RegistryRead} from '@wisterialadder/core/gateway/events/registry_read.js';
import type {QuarantineEntry} from '@wisterialadder/core/quarantine/quarantine_entry.js';
import type {StoreFailure} from '@wisterialadder/core/store_watch/store_failure.js';
import type {Result} from '@wisterialadder/core/shared/result.js';

/** Calls to the store, which persists configuration, registry and members. */
export abstract class StoreClient {
  /** Reads from `fromOffset` on, or everything that is retained. */
  abstract readConfiguration(
    fromOffset: number | undefined,
  ): Promise<Result<ConfigurationRead, StoreFailure>>;

  /** Reads from `fromOffset` on, or everything that is retained. */
  abstract readRegistry(
    fromOffset: number | undefined,
  ): Promise<Result<RegistryRead, StoreFailure>>;

  abstract readMembers(): Promise<Result<MembersRead, StoreFailure>>;

  abstract announce(record: MemberRecord): Promise<Result<void, StoreFailure>>;

  /** Verdicts on parts of prompts. */
  abstract readQuarantine(): Promise<Result<QuarantineRead, StoreFailure>>;

  /** Records the newest verdict on a part. */
  abstract saveQuarantine(
    entry: QuarantineEntry,
  ): Promise<Result<void, StoreFailure>>;

  /** Closes all connections. */
  abstract dispose(): void | Promise<void>;
}
