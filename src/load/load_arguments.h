#pragma once

#include "load/load_plan.h"
#include "settings/endpoint.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Parses a client account from "name=N,rate=R[,limit=R,burst=B][,key-file=F]". Throws coordination_error
/// (SettingInvalid, SettingUnknown; FileUnreadable and FileExposed when the key file can't be read or users other
/// than the owner and group have access to it).
load_account parseLoadAccount(std::string_view text);

/// Parses a request from "METHOD PATH [WEIGHT]". Throws coordination_error (SettingInvalid).
load_request parseLoadRequest(std::string_view text);

/// Parses addresses of the form "IP:PORT". Throws coordination_error (SettingInvalid) with the name of the option in
/// its text.
std::vector<endpoint> parseEndpoints(std::span<const std::string> texts, std::string_view option);

} // namespace guavafront
