import type { IngressDescription } from "@lentilramp/fleet";

/** Returns a roster of `count` ingresses, distributed evenly over `domains` failure domains. */
export function fleetRoster(count: number, domains: number): IngressDescription[] {
    return Array.from({ length: count }, (unused, i) => {
        void unused;
        const address = { host: `10.0.${i >> 8}.${i & 255}`, port: 80 };
        return {
            name: `front-${i % domains}-${i}`,
            ...address,
            inner: { ...address, port: 81 },
            region: "r",
            failureDomain: `domain-${i % domains}`,
            accepting: true,
        };
    });
}
