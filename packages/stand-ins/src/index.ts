/**
 * Small fakes of engines, services, weight store, cloud API and instance list; docs/protocols.md gives their routes.
 */
export { BatchScheduler, type Sequence, type StepPlan } from "./engine/batch-scheduler.ts";
export { chatBody, chatFingerprint, type ChatInput, expectedTokens } from "./engine/chat-body.ts";
export { promptBlocks, promptTokens, tokensPerBlock } from "./engine/chat-body.ts";
export { engineOptions } from "./engine/engine-options.ts";
export { ModelEngine } from "./engine/model-engine.ts";
export { engineOrder } from "./engine/order-book.ts";
export { type Address, HttpStandIn, type StandInDependencies } from "./http/http-stand-in.ts";
export { type JsonAnswer, requestJson } from "./http/request-json.ts";
export { CloudApi, type ReclaimNotice } from "./platform/cloud-api.ts";
export { type CloudInstance, cloudOptions } from "./platform/cloud-options.ts";
export { InstanceList, instanceListOptions, type ListedInstance } from "./platform/instance-list.ts";
export { WeightStore, weightStoreOptions } from "./platform/weight-store.ts";
export { PlainService } from "./service/plain-service.ts";
export { serviceOptions } from "./service/service-options.ts";
