import {request} from 'undici';
import {z} from 'zod';
import type {VmListRead} from '@wisterialadder/core/router/events/vm_list_read.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';

const READ_INTERVAL_MS = 5_000;
const READ_TIMEOUT_MS = 2_000;

const VM_LIST = z.object({
  vms: z.array(
    z.object({
      address: z.string(),
      failureDomain: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Reads the platform's VM list at an interval; failed reads are skipped. */
export function startVmListReader(
  platformUrl: string,
  push: (event: VmListRead) => void,
): Disposable {
  async function read(): Promise<void> {
    try {
      const res = await request(`${platformUrl}/vms`, {
        headersTimeout: READ_TIMEOUT_MS,
        bodyTimeout: READ_TIMEOUT_MS,
      });
      const parsed = VM_LIST.safeParse(await res.body.json());
      if (parsed.success) push({kind: 'vm_list_read', vms: parsed.data.vms});
    } catch {
      // The list is only a hint; the next read may succeed.
    }
  }

  void read();
  const timer = setInterval(() => void read(), READ_INTERVAL_MS);
  return {dispose: () => clearInterval(timer)};
}
